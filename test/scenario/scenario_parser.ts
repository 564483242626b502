/**
 * Parses scenario files with a parser that is generated at run time.
 */
import {readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import peggy from 'peggy';
import type {Statement} from './scenario_ast.js';

/** Source directory of the scenario files and the grammar; not in `dist`. */
export const SCENARIO_DIRECTORY = fileURLToPath(
  new URL('../../../test/scenario/', import.meta.url),
);

/**
 * Parses the text of a file; throws an Error that starts with file name, line
 * and column.
 */
export type ScenarioParser = (
  text: string,
  fileName: string,
) => readonly Statement[];

/** Generates the parser from the grammar. */
export function createScenarioParser(): ScenarioParser {
  const file = join(SCENARIO_DIRECTORY, 'scenario_grammar.peggy');
  const parser = peggy.generate(readFileSync(file, 'utf8'));
  return (text, fileName) => {
    try {
      return parser.parse(text) as readonly Statement[];
    } catch (error) {
      if (!(error instanceof parser.SyntaxError)) throw error;
      const {line, column} = error.location.start;
      throw new Error(
        `${fileName}:${String(line)}:${String(column)}: ${error.message}`,
        {cause: error},
      );
    }
  };
}
