/**
 * Converts a draft to a document and reports its problems, with the same checks
 * as `policy check`.
 */
import type {DraftGroup} from './draft.js';
import {toDocument, toDraft} from './draft.js';
import {policyFormModel} from './form_model.js';
import {checkPolicyUpdate} from '../policy_update.js';
import {compilePolicy} from '../../version/compiled_policy.js';
import {MAX_DOCUMENT_BYTES} from '../../version/json_document.js';
import type {CompiledPolicy, Policy} from '../../version/policy.js';
import {findPolicyWarnings} from '../../version/policy_warnings.js';
import type {Problem} from '../../version/problem.js';

/** Results of the checks of a draft. */
export interface DraftReport {
  /** Undefined while the document itself is invalid. */
  readonly compiled: CompiledPolicy | undefined;
  /** Includes update problems; the draft can be saved if there are none. */
  readonly problems: readonly Problem[];
  /** Valid settings that may be mistakes. */
  readonly warnings: readonly Problem[];
  /** Warnings about the update from the previous document. */
  readonly updateWarnings: readonly string[];
}

/** Encodes a draft as the JSON document that would be saved. */
export function encodeDraft(draft: DraftGroup): Uint8Array {
  const document = toDocument(policyFormModel, draft);
  const encoder = new TextEncoder();
  const readable = encoder.encode(`${JSON.stringify(document, null, 2)}\n`);
  if (readable.byteLength <= MAX_DOCUMENT_BYTES) return readable;
  // A large document may still fit without line breaks.
  return encoder.encode(JSON.stringify(document));
}

/** Checks a draft, also against the document that it replaces. */
export function checkDraft(
  draft: DraftGroup,
  previous: Policy | undefined,
): DraftReport {
  const compilation = compilePolicy(encodeDraft(draft));
  if (compilation.kind === 'invalid') {
    const {problems} = compilation;
    return {compiled: undefined, problems, warnings: [], updateWarnings: []};
  }
  const {compiled} = compilation;
  const updateReport = previous
    ? checkPolicyUpdate(previous, compiled.policy)
    : {problems: [], warnings: []};
  return {
    compiled,
    problems: updateReport.problems,
    warnings: findPolicyWarnings(compiled.policy),
    updateWarnings: updateReport.warnings,
  };
}

/** Creates a draft of the next version of a document. */
export function createNextDraft(previous: Policy): DraftGroup {
  const version = Math.min(previous.version + 1, Number.MAX_SAFE_INTEGER);
  return toDraft(policyFormModel, {...previous, version});
}
