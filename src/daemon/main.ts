#!/usr/bin/env node
/**
 * Entry point of `fulmarhollowd` with a settings file, a policy document and a host list.
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
 * Limit of the retries that a service receives from the whole fleet: a fifth of its
 * requests, plus a few for services with little traffic.
 */
const RETRY_BOUND = {ratio: 0.2, windowMillis: 10_000, slackCount: 50};

/**
 * Excess over a quota that is tolerated within a window: nodes need time to detect a surge
 * before the quota is enforced.
 */
const QUOTA_BOUND = {windowMillis: 5000, overageRatio: 0.25, slackCount: 20};

/** Without a guarantee, another service may have an address as soon as it is free. */
const ADDRESS_REUSE_MILLIS = 0;

/**
 * Longest time from a publication until it is applied. Changes are batched for a part of
 * it, so that a policy or host list that is published in several steps is applied at once.
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
      return toNodeSettings(settings);
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

function toNodeSettings(settings: SettingsFile): NodeSettings {
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
    addressReuseMillis: ADDRESS_REUSE_MILLIS,
    applyWithinMillis: APPLY_WITHIN_MILLIS,
    repeatBound: RETRY_BOUND,
    quotaBound: QUOTA_BOUND,
  };
}
