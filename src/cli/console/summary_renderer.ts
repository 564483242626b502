/**
 * Renders the draft summary beside the forms.
 */
import type {
  DraftSummary,
  ClassSummary,
  ServiceSummary,
} from './draft_summary.js';
import type {Html} from './html.js';
import {html, EMPTY_HTML} from './html.js';
import type {RouteExplanation} from '../route_explanation.js';
import {formatExplanation} from '../route_explanation.js';

const INVALID_NOTE = 'Shown once each field is valid.';

/** Renders the changes from the previous document. */
export function renderChanges(summary: DraftSummary | undefined): Html {
  if (summary === undefined) return renderNote(INVALID_NOTE);
  const {previousVersion, changes} = summary;
  if (previousVersion === undefined) {
    return renderNote('A first document: there is none to compare it with.');
  }
  return html`<p class="help">
      Compared with version ${previousVersion}, the document to be replaced:
    </p>
    <ul class="changes">
      ${changes.map(
        ({sentence, concerns}) =>
          html`<li>
            ${sentence} <span class="concerns">Concerns ${concerns}.</span>
          </li>`,
      )}
    </ul>`;
}

/** Renders the classes with their reserves, in order of importance. */
export function renderClasses(summary: DraftSummary | undefined): Html {
  if (summary === undefined) return renderNote(INVALID_NOTE);
  return html`<table class="figures">
    <thead>
      <tr>
        <th scope="col">Reserve</th>
        <th scope="col">May use at most</th>
        <th scope="col">Routes</th>
      </tr>
    </thead>
    ${summary.classes.map(renderClass)}
  </table>`;
}

function renderClass(item: ClassSummary, index: number): Html {
  return html`<tbody>
    <tr class="heading">
      <th scope="rowgroup" colspan="3">
        ${index + 1}. ${item.name}
        <span class="concerns">${describeShedding(item)}</span>
      </th>
    </tr>
    <tr>
      <td>${formatPercent(item.reservedRatio)}</td>
      <td>${formatPercent(item.usableRatio)}</td>
      <td>${item.routesCount}</td>
    </tr>
  </tbody>`;
}

function describeShedding({shedAfter}: ClassSummary): string {
  return shedAfter === undefined ? 'shed first' : `shed after ${shedAfter}`;
}

/** Renders the number of slots of an upstream that each class may use. */
export function renderServices(summary: DraftSummary | undefined): Html {
  if (summary === undefined) return renderNote(INVALID_NOTE);
  return html`<p class="help">
      Slots of one upstream that a class may use at most; numbers are the places
      of the classes above.
    </p>
    <div class="table-scroll">
      <table class="figures">
        <thead>
          <tr>
            <th scope="col">Service</th>
            <th scope="col">Slots</th>
            ${summary.classes.map(
              ({name}, index) =>
                html`<th scope="col" title="${name}">${index + 1}</th>`,
            )}
          </tr>
        </thead>
        <tbody>
          ${summary.services.map(renderService)}
        </tbody>
      </table>
    </div>`;
}

function renderService(item: ServiceSummary): Html {
  return html`<tr>
    <th scope="row">${item.name}</th>
    <td>${item.slotsCount}</td>
    ${item.usableSlotsCounts.map(count => html`<td>${count}</td>`)}
  </tr>`;
}

/** Renders the rules of each route, as in `policy explain`. */
export function renderRoutes(summary: DraftSummary | undefined): Html {
  if (summary === undefined) return renderNote(INVALID_NOTE);
  return html`${summary.routes.map(renderRoute)}`;
}

function renderRoute(rules: RouteExplanation): Html {
  const [, ...lines] = formatExplanation(rules);
  return html`<h4>
      ${rules.service}: ${rules.method} ${rules.path}
      <span class="concerns">${rules.route}</span>
    </h4>
    <dl class="rules">${lines.map(renderRule)}</dl>`;
}

function renderRule(line: string): Html {
  const separatorIndex = line.indexOf(':');
  if (separatorIndex < 0) return EMPTY_HTML;
  return html`<dt>${line.slice(0, separatorIndex)}</dt>
    <dd>${line.slice(separatorIndex + 1).trim()}</dd>`;
}

function renderNote(text: string): Html {
  return html`<p class="help">${text}</p>`;
}

/** Two decimals of a percentage are sufficient for limits of up to 100,000. */
function formatPercent(ratio: number): string {
  return `${String(Math.round(ratio * 10_000) / 100)}%`;
}
