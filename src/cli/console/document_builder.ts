/**
 * From a draft to a document that may be saved, with everything wrong with it,
 * found by the very checks of `policy check`.
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

/** What the checks say about a draft. */
export interface DraftReport {
  /** Undefined while the document by itself is invalid. */
  readonly compiled: CompiledPolicy | undefined;
  /** Also those against the previous document; none: it may be saved. */
  readonly problems: readonly Problem[];
  /** Accepted settings to think about. */
  readonly warnings: readonly Problem[];
  /** What to know about the step from the previous document. */
  readonly notes: readonly string[];
}

/** Writes a draft as it would be saved. */
export function encodeDraft(draft: DraftGroup): Uint8Array {
  const document = toDocument(policyFormModel, draft);
  const encoder = new TextEncoder();
  const readable = encoder.encode(`${JSON.stringify(document, null, 2)}\n`);
  if (readable.byteLength <= MAX_DOCUMENT_BYTES) return readable;
  // Without line breaks a large document may still fit.
  return encoder.encode(JSON.stringify(document));
}

/** Checks a draft, also against the document it replaces. */
export function checkDraft(
  draft: DraftGroup,
  previous: Policy | undefined,
): DraftReport {
  const compilation = compilePolicy(encodeDraft(draft));
  if (compilation.kind === 'invalid') {
    const {problems} = compilation;
    return {compiled: undefined, problems, warnings: [], notes: []};
  }
  const {compiled} = compilation;
  const updateReport = previous
    ? checkPolicyUpdate(previous, compiled.policy)
    : {problems: [], warnings: []};
  return {
    compiled,
    problems: updateReport.problems,
    warnings: findPolicyWarnings(compiled.policy),
    notes: updateReport.warnings,
  };
}

/** A draft of the version that follows a document. */
export function createNextDraft(previous: Policy): DraftGroup {
  const version = Math.min(previous.version + 1, Number.MAX_SAFE_INTEGER);
  return toDraft(policyFormModel, {...previous, version});
}
