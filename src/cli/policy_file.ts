/**
 * Reads and compiles policy documents from files.
 */
import {closeSync, openSync, readSync} from 'node:fs';
import type {CommandOutput, ExitCode} from './command_output.js';
import {EXIT} from './command_output.js';
import {describeError} from '../base/errors.js';
import {compilePolicy} from '../version/compiled_policy.js';
import {MAX_DOCUMENT_BYTES} from '../version/json_document.js';
import type {CompiledPolicy} from '../version/policy.js';
import type {Problem} from '../version/problem.js';
import {formatProblem} from '../version/problem.js';

/** Result of reading and compiling a file. */
export type PolicyFileResult =
  | {readonly kind: 'compiled'; readonly compiled: CompiledPolicy}
  | {readonly kind: 'invalid'; readonly problems: readonly Problem[]}
  | {readonly kind: 'unreadable'; readonly message: string};

/** Reads and compiles a file; never throws. */
export function readPolicyFile(filePath: string): PolicyFileResult {
  try {
    return compilePolicy(readFileBounded(filePath));
  } catch (error) {
    return {kind: 'unreadable', message: describeError(error)};
  }
}

/**
 * Reads a file that must hold a valid document; otherwise prints the problems
 * and returns the exit code.
 */
export function readValidPolicy(
  filePath: string,
  output: CommandOutput,
): CompiledPolicy | ExitCode {
  const file = readPolicyFile(filePath);
  switch (file.kind) {
    case 'compiled':
      return file.compiled;
    case 'invalid':
      for (const problem of file.problems) {
        output.writeErrorLine(`${filePath}: ${formatProblem(problem)}`);
      }
      return EXIT.invalid;
    case 'unreadable':
      output.writeErrorLine(`${filePath}: cannot be read: ${file.message}`);
      return EXIT.usage;
  }
}

/** Reads up to one byte more than allowed, so that the size check can fail. */
function readFileBounded(filePath: string): Uint8Array {
  const buffer = Buffer.alloc(MAX_DOCUMENT_BYTES + 1);
  const descriptor = openSync(filePath, 'r');
  try {
    let length = 0;
    while (length < buffer.length) {
      const free = buffer.length - length;
      const readBytes = readSync(descriptor, buffer, length, free, null);
      if (readBytes === 0) break;
      length += readBytes;
    }
    return buffer.subarray(0, length);
  } finally {
    closeSync(descriptor);
  }
}
