/**
 * Registers the scenario files as tests, shared out over several test files so
 * that a part of them runs at the same time as another.
 */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import test from 'ava';
import {SCENARIO_DIRECTORY, createScenarioParser} from './scenario_parser.js';
import {runScenario} from './scenario_runner.js';

const SCENARIO_TIMEOUT_MILLIS = 110_000;
const PARTS_COUNT = 2;

/** Registers every file whose position in the alphabet falls to the part. */
export function registerScenarios(partIndex: number): void {
  const parse = createScenarioParser();
  const files = readdirSync(SCENARIO_DIRECTORY)
    .filter(name => name.endsWith('.scenario'))
    .sort()
    .filter((_name, index) => index % PARTS_COUNT === partIndex);
  for (const file of files) {
    const text = readFileSync(join(SCENARIO_DIRECTORY, file), 'utf8');
    // One after another: each starts a dozen processes.
    test.serial(file, async t => {
      t.timeout(SCENARIO_TIMEOUT_MILLIS);
      await t.notThrowsAsync(runScenario(parse(text, file)));
    });
  }
}
