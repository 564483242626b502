/**
 * Registers the scenario files as tests, split over several test files that AVA
 * runs concurrently.
 */
import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import test from 'ava';
import {SCENARIO_DIRECTORY, createScenarioParser} from './scenario_parser.js';
import {runScenario} from './scenario_runner.js';

const SCENARIO_TIMEOUT_MILLIS = 110_000;
const PARTS_COUNT = 2;

/** Registers the files of one part; files are dealt out in alphabetical order. */
export function registerScenarios(partIndex: number): void {
  const parse = createScenarioParser();
  const files = readdirSync(SCENARIO_DIRECTORY)
    .filter(name => name.endsWith('.scenario'))
    .sort()
    .filter((_name, index) => index % PARTS_COUNT === partIndex);
  for (const file of files) {
    const text = readFileSync(join(SCENARIO_DIRECTORY, file), 'utf8');
    // Serial, because each scenario starts a dozen processes.
    test.serial(file, async t => {
      t.timeout(SCENARIO_TIMEOUT_MILLIS);
      await t.notThrowsAsync(runScenario(parse(text, file)));
    });
  }
}
