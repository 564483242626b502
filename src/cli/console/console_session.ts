/**
 * State of one run of the console: the document to be replaced and the document
 * saved last. Drafts are kept only in the pages.
 */
import {checkDraft, createNextDraft} from './document_builder.js';
import type {DraftReport} from './document_builder.js';
import type {DraftGroup} from './draft.js';
import {saveDocumentFile} from './document_file.js';
import {createStartingDraft} from './draft_templates.js';
import type {CompiledPolicy} from '../../version/policy.js';
import type {Problem} from '../../version/problem.js';

/** Options of a session. */
export interface ConsoleSessionOptions {
  /** Document to be replaced; undefined if there is none. */
  readonly previous: CompiledPolicy | undefined;
  /** File to write; if undefined, saved documents are downloaded. */
  readonly outputFile: string | undefined;
}

/** Result of saving a draft. */
export type SaveResult =
  | {readonly kind: 'saved'; readonly compiled: CompiledPolicy}
  | {readonly kind: 'refused'; readonly problems: readonly Problem[]};

/** State of one run of the console. */
export interface ConsoleSession {
  readonly outputFile: string | undefined;
  /** Document that drafts are compared with. */
  previous(): CompiledPolicy | undefined;
  /** Document saved last, for download. */
  saved(): CompiledPolicy | undefined;
  /** Creates the draft that a new page shows. */
  createInitialDraft(): DraftGroup;
  check(draft: DraftGroup): DraftReport;
  /** Saves a draft without problems, which then becomes the previous document. */
  save(draft: DraftGroup): SaveResult;
}

/** Creates a session without a saved document. */
export function createConsoleSession(
  options: ConsoleSessionOptions,
): ConsoleSession {
  const {outputFile} = options;
  let previous = options.previous;
  let saved: CompiledPolicy | undefined;
  const check = (draft: DraftGroup) => checkDraft(draft, previous?.policy);
  return {
    outputFile,
    previous: () => previous,
    saved: () => saved,
    createInitialDraft: () =>
      previous ? createNextDraft(previous.policy) : createStartingDraft(),
    check,
    save: draft => {
      const {compiled, problems} = check(draft);
      if (compiled === undefined || problems.length > 0) {
        return {kind: 'refused', problems};
      }
      const fileProblem =
        outputFile === undefined
          ? undefined
          : saveDocumentFile(outputFile, compiled);
      if (fileProblem !== undefined) {
        return {kind: 'refused', problems: [fileProblem]};
      }
      // The next save needs a higher version: with two different documents of
      // one version, each host would keep the one it received first and count
      // `digest-conflict`, and the fleet would be inconsistent.
      previous = compiled;
      saved = compiled;
      return {kind: 'saved', compiled};
    },
  };
}
