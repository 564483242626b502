/**
 * Renders the pages of the console.
 */
import type {ChecksView} from './checks_renderer.js';
import {renderChecks, renderDraftStatus} from './checks_renderer.js';
import type {DraftGroup} from './draft.js';
import {CLASS_NAMES_ID} from './field_input_renderer.js';
import {groupMessages} from './field_problems.js';
import {labelOf} from './field_labels.js';
import {policyFormModel} from './form_model.js';
import {renderForm} from './form_renderer.js';
import type {Html} from './html.js';
import {html, EMPTY_HTML} from './html.js';

/** Notice about a document that was just saved. */
export interface SavedNotice {
  readonly deployment: string;
  readonly version: number;
  readonly digest: string;
  /** File that was written; undefined if the document is downloaded. */
  readonly file: string | undefined;
}

/** Data of a page. */
export interface PageView extends ChecksView {
  readonly saved: SavedNotice | undefined;
  /** File to which documents are saved; undefined to download them. */
  readonly outputFile: string | undefined;
  /** Whether the page has unsaved changes. */
  readonly isChanged: boolean;
}

/** Renders the page with all forms. */
export function renderPage(view: PageView): Html {
  const title = `Policy of ${String(view.draft['deployment'] || 'a new deployment')}`;
  return renderDocument(
    title,
    html`<form
      id="policy-form"
      method="post"
      action="edit"
      data-changed="${String(view.isChanged)}"
    >
      <header class="bar">
        <h1>${title}</h1>
        <span id="live-state" data-live>${renderDraftStatus(view)}</span>
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
      ${view.saved === undefined ? EMPTY_HTML : renderSaved(view.saved)}
      ${renderNavigation()}
      <div class="columns">
        <main>
          ${renderForm(
            policyFormModel,
            view.draft,
            groupMessages(view.problems),
          )}
          ${renderClassNames(view.draft)}
        </main>
        ${renderChecks(view)}
      </div>
    </form>`,
  );
}

/** Renders the parts of a page that are updated while the operator types. */
export function renderLiveParts(view: PageView): Html {
  return renderDocument(
    'Check',
    html`<span id="live-state" data-live>${renderDraftStatus(view)}</span>
      ${renderChecks(view)}
      <ul id="field-problems">
        ${[...groupMessages(view.problems)].map(
          ([name, message]) => html`<li data-name="${name}">${message}</li>`,
        )}
      </ul>`,
  );
}

/** Renders an error page. */
export function renderErrorPage(title: string, message: string): Html {
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

function renderSaved(saved: SavedNotice): Html {
  const {deployment, version, file} = saved;
  const where =
    file === undefined
      ? html`<a class="download" href="document" download
          >Download ${deployment}-v${version}.json</a
        >`
      : html`It was written to <code>${file}</code>.`;
  return html`<div class="notice" role="status">
    <p>
      <strong>Version ${version} of ${deployment} is valid.</strong> ${where}
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
    <a href="#checks">Checks and effects</a>
  </nav>`;
}

/** Renders the suggestions for the class of a route. */
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
