/**
 * Writes a validated document to a file.
 */
import {existsSync, renameSync, rmSync, writeFileSync} from 'node:fs';
import {v4 as createUuid} from 'uuid';
import {readPolicyFile} from '../policy_file.js';
import {checkPolicyUpdate} from '../policy_update.js';
import {describeError} from '../../base/errors.js';
import type {CompiledPolicy} from '../../version/policy.js';
import type {Problem} from '../../version/problem.js';
import {ROOT_PATH} from '../../version/problem.js';

/** Writes the document atomically; returns the problem if it was not written. */
export function saveDocumentFile(
  filePath: string,
  compiled: CompiledPolicy,
): Problem | undefined {
  const overwriteProblem = findOverwriteProblem(filePath, compiled);
  if (overwriteProblem !== undefined) return overwriteProblem;
  const temporaryPath = `${filePath}.${createUuid()}.tmp`;
  try {
    // Without the temporary file, a full disk would leave a truncated document.
    writeFileSync(temporaryPath, compiled.documentBytes, {flag: 'wx'});
    renameSync(temporaryPath, filePath);
    return undefined;
  } catch (error) {
    rmSync(temporaryPath, {force: true});
    return createFileProblem(
      describeError(error),
      `${filePath} as a file to write`,
    );
  }
}

/** Prevents a mistyped name from overwriting another file or a newer version. */
function findOverwriteProblem(
  filePath: string,
  compiled: CompiledPolicy,
): Problem | undefined {
  if (!existsSync(filePath)) return undefined;
  const existing = readPolicyFile(filePath);
  if (existing.kind !== 'compiled') {
    return createFileProblem(
      `${filePath} exists and is not a valid policy document`,
      'a new file, or one with an older version of this policy',
    );
  }
  const [problem] = checkPolicyUpdate(
    existing.compiled.policy,
    compiled.policy,
  ).problems;
  return problem;
}

function createFileProblem(value: string, allowed: string): Problem {
  return {path: ROOT_PATH, value, allowed};
}
