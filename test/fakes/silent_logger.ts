/**
 * A logger for tests that are not about logs.
 */
import {Logger} from '../../src/process/logger.js';

/** Creates a logger that drops every line. */
export function createSilentLogger(): Logger {
  return new (class extends Logger {
    override info(): void {}
    override warn(): void {}
    override error(): void {}
  })();
}
