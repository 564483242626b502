/**
 * A table of what the fields of a list mean, shown once beside all its items.
 */
import {effectOf, labelOf, singularOf, unitOf} from './field_words.js';
import type {FieldModel, FormModel, ListModel} from './form_model.js';
import type {Html} from './html.js';
import {html, renderCodeWords} from './html.js';

/** Draws the guide of a list, and of the lists within it. */
export function renderGuide(list: ListModel): Html {
  const fields = list.item.members.filter(isField);
  const nested = list.item.members.filter(member => member.kind === 'list');
  return html`<details class="guide">
      <summary>
        Units, allowed values and effects of the fields of a
        ${singularOf(list.name)}
      </summary>
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
    ${nested.map(renderGuide)}`;
}

function renderGuideRow(field: FieldModel): Html {
  return html`<tr>
    <th scope="row">
      ${labelOf(field.name)}<code class="field-name">${field.name}</code>
    </th>
    <td>${unitOf(field.path) || '\u2013'}</td>
    <td>${renderCodeWords(field.allowed)}</td>
    <td>${renderCodeWords(effectOf(field.path))}</td>
  </tr>`;
}

function isField(model: FormModel): model is FieldModel {
  return model.kind === 'field';
}
