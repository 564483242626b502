/**
 * Renders a table that describes the fields of a list, once for all its items.
 */
import {effectOf, labelOf, unitOf} from './field_labels.js';
import type {FieldModel, FormModel, ListModel} from './form_model.js';
import type {Html} from './html.js';
import {html, renderCodeSpans} from './html.js';

/** Renders the guide of a list and of its nested lists. */
export function renderGuide(list: ListModel): Html {
  const fields = list.item.members.filter(isField);
  const nested = list.item.members.filter(member => member.kind === 'list');
  return html`<p class="help">
      ${renderCodeSpans(effectOf(list.path))}
      <span class="allowed">Allowed: ${list.allowed}.</span>
    </p>
    <details class="guide">
      <summary>Units, allowed values and effects of these fields</summary>
      <table>
        <thead>
          <tr>
            <th scope="col">Field</th>
            <th scope="col">Unit</th>
            <th scope="col">Allowed</th>
            <th scope="col">Effect</th>
          </tr>
        </thead>
        <tbody>
          ${fields.map(renderGuideRow)}
        </tbody>
      </table>
    </details>
    ${nested.map(renderNestedGuide)}`;
}

function renderNestedGuide(list: ListModel): Html {
  return html`<h3>${labelOf(list.name)}</h3>
    ${renderGuide(list)}`;
}

function renderGuideRow(field: FieldModel): Html {
  return html`<tr>
    <th scope="row">
      ${labelOf(field.name)}<code class="field-name">${field.name}</code>
    </th>
    <td>${unitOf(field.path) || '\u2013'}</td>
    <td>${renderCodeSpans(field.allowed)}</td>
    <td>${renderCodeSpans(effectOf(field.path))}</td>
  </tr>`;
}

function isField(model: FormModel): model is FieldModel {
  return model.kind === 'field';
}
