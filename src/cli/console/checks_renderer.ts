/**
 * Renders the results of the checks and the draft summary beside the forms.
 */
import type {DraftSummary} from './draft_summary.js';
import type {DraftGroup} from './draft.js';
import type {FieldProblem} from './field_problems.js';
import {policyFormModel} from './form_model.js';
import type {Html} from './html.js';
import {html, EMPTY_HTML, renderCodeSpans} from './html.js';
import {describeLocation} from './draft_locations.js';
import {
  renderChanges,
  renderClasses,
  renderRoutes,
  renderServices,
} from './summary_renderer.js';

/** Results of the checks of a draft. */
export interface ChecksView {
  readonly draft: DraftGroup;
  readonly problems: readonly FieldProblem[];
  /** Valid settings that may be mistakes. */
  readonly warnings: readonly FieldProblem[];
  /** Warnings about the update from the previous document. */
  readonly updateWarnings: readonly string[];
  /** Undefined while the document itself is invalid. */
  readonly summary: DraftSummary | undefined;
  /** Whether this document was just saved. */
  readonly isSaved: boolean;
}

/** Limits the list, since a large document can have thousands of problems. */
const MAX_LISTED_PROBLEMS_COUNT = 100;

/** Renders the validity of the draft as a short status. */
export function renderDraftStatus({problems, isSaved}: ChecksView): Html {
  const count = problems.length;
  if (count > 0) {
    const noun = count === 1 ? 'problem' : 'problems';
    return html`<a class="state bad" href="#checks">${count} ${noun}</a>`;
  }
  const text = isSaved ? 'Saved' : 'Valid, not saved yet';
  return html`<a class="state good" href="#checks">${text}</a>`;
}

/** Renders all parts; those with `data-live` are updated during typing. */
export function renderChecks(view: ChecksView): Html {
  const {summary} = view;
  return html`<aside id="checks" aria-label="Checks and effects">
    <section>
      <h2>Problems</h2>
      <div id="live-problems" data-live>${renderProblems(view)}</div>
    </section>
    <section>
      <h2>What changes</h2>
      <div id="live-changes" data-live>${renderChanges(summary)}</div>
    </section>
    <section>
      <h2>Classes, most important first</h2>
      <div id="live-classes" data-live>${renderClasses(summary)}</div>
    </section>
    <section>
      <h2>Slots by class</h2>
      <div id="live-services" data-live>${renderServices(summary)}</div>
    </section>
    <details>
      <summary>Rules of each route</summary>
      <div id="live-routes" data-live>${renderRoutes(summary)}</div>
    </details>
  </aside>`;
}

function renderProblems(view: ChecksView): Html {
  const {draft, problems, warnings, updateWarnings} = view;
  return html`${
    problems.length === 0
      ? html`<p class="help">None: the document may be saved.</p>`
      : renderProblemList(draft, problems)
  }
  ${
    view.summary === undefined
      ? html`<p class="help">
          More may follow: rules that involve several fields are checked once
          each field is valid by itself.
        </p>`
      : EMPTY_HTML
  }
  ${
    warnings.length + updateWarnings.length > 0
      ? renderWarnings(draft, warnings, updateWarnings)
      : EMPTY_HTML
  }`;
}

function renderProblemList(
  draft: DraftGroup,
  problems: readonly FieldProblem[],
): Html {
  const listed = problems.slice(0, MAX_LISTED_PROBLEMS_COUNT);
  const hiddenCount = problems.length - listed.length;
  return html`<ol class="problems">
      ${listed.map(problem => renderProblem(draft, problem))}
    </ol>
    ${hiddenCount > 0 ? html`<p>and ${hiddenCount} more</p>` : EMPTY_HTML}`;
}

function renderWarnings(
  draft: DraftGroup,
  warnings: readonly FieldProblem[],
  updateWarnings: readonly string[],
): Html {
  return html`<h3>Warnings</h3>
    <ul class="warnings">
      ${warnings.map(warning => renderProblem(draft, warning))}
      ${updateWarnings.map(warning => html`<li>${warning}.</li>`)}
    </ul>`;
}

function renderProblem(
  draft: DraftGroup,
  {name, found, allowed}: FieldProblem,
): Html {
  return html`<li>
    <a href="#${anchorOf(name)}">${describeLocation(draft, name)}</a>: ${found}
    Allowed: ${renderCodeSpans(allowed)}.
  </li>`;
}

/** Top-level lists and groups have a section id, all others their form name. */
function anchorOf(name: string): string {
  if (name === '') return 'section-identity';
  const member = policyFormModel.members.find(model => model.name === name);
  const hasSection = member !== undefined && member.kind !== 'field';
  return hasSection ? `section-${name}` : name;
}
