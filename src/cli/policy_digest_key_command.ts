/**
 * `fulmarhollow policy digest-key`: prints the digest of an API key for the policy
 * document. The key is read from standard input because process arguments are
 * visible to other users of the machine.
 */
import {readFileSync} from 'node:fs';
import type {CommandModule} from 'yargs';
import type {CommandOutput, ExitCode} from './command_output.js';
import {EXIT, processOutput} from './command_output.js';
import {apiKeyDigest} from '../version/organisation.js';

/** Bearer token syntax (RFC 6750, section 2.1), with a minimum length. */
const KEY_PATTERN = /^[A-Za-z0-9\-._~+/]{16,1024}=*$/;

const STDIN_FILE_DESCRIPTOR = 0;

/** The command for yargs. */
export const policyDigestKeyCommand: CommandModule = {
  command: 'digest-key',
  describe: 'read an API key from standard input and print its digest',
  handler: () => {
    const text = readFileSync(STDIN_FILE_DESCRIPTOR, 'utf8');
    process.exitCode = printKeyDigest(text, processOutput);
  },
};

/** Prints the digest; fails if the text is not a valid bearer token. */
export function printKeyDigest(text: string, output: CommandOutput): ExitCode {
  const key = text.replace(/\r?\n$/, '');
  if (!KEY_PATTERN.test(key)) {
    output.writeErrorLine(
      'an API key must have 16 to 1024 letters, digits and -._~+/, and may end with =',
    );
    return EXIT.invalid;
  }
  output.writeLine(apiKeyDigest(key));
  return EXIT.ok;
}
