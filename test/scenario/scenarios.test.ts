import {readFileSync, readdirSync} from 'node:fs';
import {join} from 'node:path';
import test from 'ava';
import {SCENARIO_DIRECTORY, createScenarioParser} from './scenario_parser.js';
import {runScenario} from './scenario_runner.js';

const LIMIT_MILLIS = 110_000;

const parse = createScenarioParser();
const files = readdirSync(SCENARIO_DIRECTORY);

for (const file of files.filter(name => name.endsWith('.scenario')).sort()) {
  const text = readFileSync(join(SCENARIO_DIRECTORY, file), 'utf8');
  // One after another: each starts a dozen processes.
  test.serial(file, async t => {
    t.timeout(LIMIT_MILLIS);
    await t.notThrowsAsync(runScenario(parse(text, file)));
  });
}
