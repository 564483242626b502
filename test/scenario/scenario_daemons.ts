/**
 * Statements that start, stop and signal daemons.
 */
import type {DaemonAction, StatementOf} from './scenario_ast.js';
import type {ScenarioRun} from './scenario_run.js';
import {fleetOf, resolveHosts} from './scenario_run.js';

/** Timeout of a planned stop; then the daemon is killed, with exit code -1. */
const STOP_TIMEOUT_MILLIS = 30_000;
const LAUNCH_TIMEOUT_MILLIS = 30_000;

/** Applies the action to the daemons of the hosts, one after another. */
export async function applyDaemonAction(
  run: ScenarioRun,
  statement: StatementOf<'daemon'>,
): Promise<void> {
  for (const name of resolveHosts(run, statement.hosts)) {
    await applyToDaemon(run, name, statement.action);
  }
}

async function applyToDaemon(
  run: ScenarioRun,
  name: string,
  action: DaemonAction,
): Promise<void> {
  const fleet = fleetOf(run);
  const host = fleet.host(name);
  switch (action) {
    case 'kill':
      run.running.delete(name);
      return host.killDaemon();
    case 'stop': {
      run.running.delete(name);
      const exit = await host.stopDaemon(STOP_TIMEOUT_MILLIS);
      run.exitCodes.set(name, exit.code ?? -1);
      return;
    }
    case 'freeze':
      run.frozen.add(name);
      host.daemon()?.signal('SIGSTOP');
      return;
    case 'resume':
      run.frozen.delete(name);
      host.daemon()?.signal('SIGCONT');
      return;
    case 'reload':
      host.daemon()?.signal('SIGHUP');
      return;
    case 'launch':
      await fleet.startDaemon(name);
      await fleet.waitUntilReady(LAUNCH_TIMEOUT_MILLIS, [name]);
      run.running.add(name);
      return;
    case 'replace':
      await applyToDaemon(run, name, 'stop');
      return applyToDaemon(run, name, 'launch');
  }
}
