/**
 * Files for one test, removed when it ends.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import type {ExecutionContext} from 'ava';

/** Writes files by name; returns the path of each. */
export type FileWriter = (name: string, content: Uint8Array | string) => string;

/** Creates a directory that lasts as long as the test. */
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
