/**
 * What one run of the console remembers: the document to be replaced and the
 * one saved last. Drafts live in the pages alone.
 */
import {checkDraft, createNextDraft} from './document_builder.js';
import type {DraftReport} from './document_builder.js';
import type {DraftGroup} from './draft.js';
import {saveDocumentFile} from './document_file.js';
import {createStartingDraft} from './draft_templates.js';
import type {CompiledPolicy} from '../../version/policy.js';
import type {Problem} from '../../version/problem.js';

/** What a run starts from. */
export interface ConsoleSessionOptions {
  /** Document to be replaced; none for a first one. */
  readonly previous: CompiledPolicy | undefined;
  /** File to write; without it saved documents are downloaded. */
  readonly outputFile: string | undefined;
}

/** Outcome of a save. */
export type SaveResult =
  | {readonly kind: 'saved'; readonly compiled: CompiledPolicy}
  | {readonly kind: 'refused'; readonly problems: readonly Problem[]};

/** State of one run. */
export interface ConsoleSession {
  readonly outputFile: string | undefined;
  /** The document that drafts are compared with. */
  previous(): CompiledPolicy | undefined;
  /** The document saved last, for download. */
  saved(): CompiledPolicy | undefined;
  /** What a page starts with. */
  createInitialDraft(): DraftGroup;
  check(draft: DraftGroup): DraftReport;
  /** Saves a draft without problems; from then on it is the previous one. */
  save(draft: DraftGroup): SaveResult;
}

/** Creates the state of a run. */
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
      // Two documents of one version that differ would split a fleet: hosts
      // keep the one they got first and count `digest-conflict`. The next save
      // therefore needs a higher version.
      previous = compiled;
      saved = compiled;
      return {kind: 'saved', compiled};
    },
  };
}
