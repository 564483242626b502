/**
 * Temporary files that are removed when the test ends.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {ExecutionContext} from 'ava';

/** Writes a file and returns its path. */
export type FileWriter = (name: string, content: Uint8Array | string) => string;

/** Creates a temporary directory and returns a writer for files in it. */
export function createFileWriter(t: ExecutionContext): FileWriter {
  const directory = mkdtempSync(join(tmpdir(), 'fulmarhollow-test-'));
  t.teardown(() => {
    rmSync(directory, {recursive: true});
  });
  return (name, content) => {
    const filePath = join(directory, name);
    writeFileSync(filePath, content);
    return filePath;
  };
}
