#!/usr/bin/env node
/**
 * Entry point of `fulmarhollowd` with the product's own settings and documents.
 */
import {FULMARHOLLOW_HEADERS} from '../protocol/fulmarhollow_headers.js';
import type {NodeSettings} from '../process/settings/node_settings.js';
import type {SettingsFile} from '../process/settings/settings_file.js';
import {readSettingsFile} from '../process/settings/read_settings_file.js';
import {InvalidInputError} from '../base/errors.js';
import {formatProblem} from '../version/problem.js';
import {EXIT_USAGE, parseCommandLine} from './command_line.js';
import {runNodeProgram} from './node_program.js';
import {createHttpDocuments} from './http_documents.js';

/**
 * Bound on the repeats that one service receives from the whole fleet: a fifth
 * of its requests, and a few for services that hardly receive any.
 */
const REPEAT_BOUND = {ratio: 0.2, windowMillis: 10_000, slackCount: 50};

/** Time for nodes to learn of a surge before its organisation is held to its quota. */
const QUOTA_BOUND = {windowMillis: 5000, overageRatio: 0.25, slackCount: 20};

/**
 * Bound from a publication to its effect at a node: time for a policy or a list
 * of hosts that is published step by step to be taken in at once.
 */
const APPLY_WITHIN_MILLIS = 2000;

const {settingsPath, isCheckOnly} = parseCommandLine(process.argv.slice(2));

if (isCheckOnly) checkSettings();
else await run();

function checkSettings(): void {
  try {
    readSettings();
    process.stdout.write('settings are valid\n');
  } catch (error) {
    process.stderr.write(`${(error as Error).message}\n`);
    process.exitCode = EXIT_USAGE;
  }
}

async function run(): Promise<void> {
  let platformUrl = '';
  await runNodeProgram({
    settingsPath,
    readSettings: () => {
      const settings = readSettings();
      platformUrl = settings.platformUrl;
      return nodeSettingsOf(settings);
    },
    createDocuments: () => createHttpDocuments(platformUrl),
    wireHeaders: FULMARHOLLOW_HEADERS,
    readyPath: '/ready',
  });
}

function readSettings(): SettingsFile {
  const result = readSettingsFile(settingsPath);
  if (result.kind === 'parsed') return result.settings;
  const message = result.problems.map(formatProblem).join('\n');
  throw new InvalidInputError(message, {props: {step: 'settings'}});
}

function nodeSettingsOf(settings: SettingsFile): NodeSettings {
  const platform = new URL(settings.platformUrl);
  return {
    nodeName: settings.hostName,
    zone: settings.availabilityZone,
    region: settings.region,
    hostKey: settings.hostName,
    outbound: settings.listen.caller,
    local: settings.listen.local,
    inbound: settings.listen.peer,
    ready: undefined,
    operators: settings.listen.admin,
    upstream: settings.upstream,
    service: settings.service,
    store: {address: platform.hostname, port: Number(platform.port)},
    graceMillis: settings.graceMillis,
    applyWithinMillis: APPLY_WITHIN_MILLIS,
    repeatBound: REPEAT_BOUND,
    quotaBound: QUOTA_BOUND,
  };
}
