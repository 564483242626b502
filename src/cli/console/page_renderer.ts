/**
 * The pages of the console.
 */
import type {ChangeSummary} from './change_summary.js';
import type {DraftGroup} from './draft.js';
import {CLASS_NAMES_ID} from './field_input_renderer.js';
import type {FieldProblem} from './field_problems.js';
import {groupProblems, SHOWN_PROBLEMS_COUNT} from './field_problems.js';
import {labelOf} from './field_words.js';
import {policyFormModel} from './form_model.js';
import {renderForm} from './form_renderer.js';
import type {Html} from './html.js';
import {html, NO_HTML} from './html.js';
import {
  renderChanges,
  renderClasses,
  renderRoutes,
  renderServices,
} from './summary_renderer.js';

/** A document that was just saved. */
export interface SavedNotice {
  readonly deployment: string;
  readonly version: number;
  readonly digest: string;
  /** File it was written to; undefined if it is to be downloaded. */
  readonly file: string | undefined;
}

/** Everything a page shows. */
export interface PageView {
  readonly draft: DraftGroup;
  readonly problems: readonly FieldProblem[];
  readonly warnings: readonly string[];
  /** Undefined while the document by itself is invalid. */
  readonly summary: ChangeSummary | undefined;
  readonly saved: SavedNotice | undefined;
  /** File that saving writes; undefined if documents are downloaded. */
  readonly outputFile: string | undefined;
}

/** The page with all forms. */
export function renderPage(view: PageView): Html {
  const title = `Policy of ${String(view.draft['deployment'] || 'a new deployment')}`;
  return renderDocument(
    title,
    html`<form id="policy-form" method="post" action="edit">
      <header class="bar">
        <h1>${title}</h1>
        <span id="live-state" data-live>${renderState(view)}</span>
        <button type="submit" name="action" value="" formaction="edit">
          Check
        </button>
        <button type="submit" class="primary" formaction="save">
          ${
            view.outputFile === undefined
              ? 'Save for download'
              : `Save to ${view.outputFile}`
          }
        </button>
      </header>
      ${view.saved === undefined ? NO_HTML : renderSaved(view.saved)}
      ${renderNavigation()}
      <div class="columns">
        <main>
          ${renderForm(
            policyFormModel,
            view.draft,
            groupProblems(view.problems),
          )}
          ${renderClassNames(view.draft)}
        </main>
        ${renderAside(view)}
      </div>
    </form>`,
  );
}

/** The parts of a page that change while the operator types. */
export function renderLiveParts(view: PageView): Html {
  return renderDocument(
    'Check',
    html`<span id="live-state" data-live>${renderState(view)}</span>
      ${renderAside(view)}
      <ul id="field-problems">
        ${[...groupProblems(view.problems)].map(
          ([name, message]) => html`<li data-name="${name}">${message}</li>`,
        )}
      </ul>`,
  );
}

/** A page for a request that cannot be served. */
export function renderFailure(title: string, message: string): Html {
  return renderDocument(
    title,
    html`<div class="failure">
      <h1>${title}</h1>
      <p>${message}</p>
      <p>
        Nothing was saved. Go back in the browser to keep what you entered, or
        <a href="./">open the console anew</a>.
      </p>
    </div>`,
  );
}

function renderDocument(title: string, body: Html): Html {
  return html`<!doctype html>
    <html lang="en">
      <head>
        <meta charset="utf-8" />
        <meta name="viewport" content="width=device-width, initial-scale=1" />
        <title>${title}</title>
        <link rel="icon" href="data:," />
        <link rel="stylesheet" href="console.css" />
        <script type="module" src="live_check.js"></script>
      </head>
      <body>
        ${body}
      </body>
    </html>`;
}

function renderState({problems, summary}: PageView): Html {
  const count = problems.length;
  if (count > 0) {
    const noun = count === 1 ? 'problem' : 'problems';
    return html`<strong class="state bad">${count} ${noun}</strong>`;
  }
  if (summary === undefined) return NO_HTML;
  return html`<strong class="state good">Valid, not saved yet</strong>`;
}

function renderSaved(saved: SavedNotice): Html {
  const where =
    saved.file === undefined
      ? html`<a class="download" href="document" download
          >Download ${saved.deployment}-v${saved.version}.json</a
        >`
      : html`It was written to <code>${saved.file}</code>.`;
  return html`<div class="notice" role="status">
    <p>
      <strong
        >Version ${saved.version} of ${saved.deployment} is valid and
        saved.</strong
      >
      ${where}
    </p>
    <p class="help">SHA-256 <code>${saved.digest}</code></p>
    <p class="help">
      It takes effect once you publish it through the platform. The forms now
      hold the next version, compared with the one saved.
    </p>
  </div>`;
}

function renderNavigation(): Html {
  const links = policyFormModel.members
    .filter(({kind}) => kind !== 'field')
    .map(({name}) => html`<a href="#section-${name}">${labelOf(name)}</a>`);
  return html`<nav aria-label="Sections">
    <a href="#section-identity">Identity</a> ${links}
  </nav>`;
}

function renderAside(view: PageView): Html {
  const {summary} = view;
  return html`<aside aria-label="Checks and effects">
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

function renderProblems({problems, warnings, summary}: PageView): Html {
  const shown = problems.slice(0, SHOWN_PROBLEMS_COUNT);
  const hiddenCount = problems.length - shown.length;
  return html`${
      problems.length === 0
        ? html`<p class="help">None: the document may be saved.</p>`
        : NO_HTML
    }
    <ol class="problems">
      ${shown.map(renderProblemLink)}
    </ol>
    ${hiddenCount > 0 ? html`<p>and ${hiddenCount} more</p>` : NO_HTML}
    ${
      summary === undefined && problems.length > 0
        ? html`<p class="help">
            Rules over several fields are checked once each field is valid.
          </p>`
        : NO_HTML
    }
    ${warnings.length > 0 ? renderWarnings(warnings) : NO_HTML}`;
}

function renderWarnings(warnings: readonly string[]): Html {
  return html`<h3>Warnings</h3>
    <ul class="warnings">
      ${warnings.map(warning => html`<li>${warning}</li>`)}
    </ul>`;
}

function renderProblemLink({name, message}: FieldProblem): Html {
  const target = name === '' ? 'section-identity' : anchorOf(name);
  const place = name === '' ? 'The document' : name;
  return html`<li><a href="#${target}">${place}</a>: ${message}</li>`;
}

/** Fields, items and inner lists have ids of their own, top lists sections. */
function anchorOf(name: string): string {
  const member = policyFormModel.members.find(model => model.name === name);
  const hasSection = member !== undefined && member.kind !== 'field';
  return hasSection ? `section-${name}` : name;
}

/** Suggestions for the class of a route. */
function renderClassNames(draft: DraftGroup): Html {
  const classes = draft['classes'];
  const items = typeof classes === 'object' ? Object.values(classes) : [];
  return html`<datalist id="${CLASS_NAMES_ID}">
    ${items.map(item => html`<option value="${nameOf(item)}"></option>`)}
  </datalist>`;
}

function nameOf(item: unknown): string {
  if (typeof item !== 'object' || item === null) return '';
  return 'name' in item ? String(item.name) : '';
}
