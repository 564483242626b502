/**
 * Renders the forms for a draft.
 */
import type {DraftGroup, DraftList, DraftNode} from './draft.js';
import {formatEdit} from './draft_edits.js';
import type {EditVerb} from './draft_edits.js';
import {renderGuide} from './field_guide_renderer.js';
import {renderInput} from './field_input_renderer.js';
import type {FieldMessages} from './field_problems.js';
import {effectOf, labelOf, singularOf, unitOf} from './field_labels.js';
import {ACTION_FIELD, COUNT_SUFFIX, joinName} from './form_fields.js';
import type {
  FieldModel,
  FormModel,
  GroupModel,
  ListModel,
} from './form_model.js';
import type {Html} from './html.js';
import {html, EMPTY_HTML, renderCodeSpans} from './html.js';

/** Renders the forms for the whole draft. */
export function renderForm(
  model: GroupModel,
  draft: DraftGroup,
  problems: FieldMessages,
): Html {
  const identity = model.members.filter(isField);
  const sections = model.members.filter(member => !isField(member));
  return html`<section class="section" id="section-identity">
      <h2>Identity</h2>
      ${identity.map(field => renderField(field, field.name, draft, problems))}
    </section>
    ${sections.map(section =>
      renderSection(section, draft[section.name], problems),
    )}`;
}

function renderSection(
  model: FormModel,
  node: DraftNode | undefined,
  problems: FieldMessages,
): Html {
  return html`<section class="section" id="section-${model.name}">
    <h2>${labelOf(model.name)}</h2>
    ${
      model.kind === 'list'
        ? renderList(model, model.name, node as DraftList, problems)
        : renderGroup(
            model as GroupModel,
            model.name,
            node as DraftGroup,
            problems,
          )
    }
  </section>`;
}

function renderGroup(
  model: GroupModel,
  name: string,
  draft: DraftGroup,
  problems: FieldMessages,
): Html {
  return html`${renderProblem(name, problems)}
  ${model.members
    .filter(isField)
    .map(field =>
      renderField(field, joinName(name, field.name), draft, problems),
    )}`;
}

function renderField(
  field: FieldModel,
  name: string,
  draft: DraftGroup,
  problems: FieldMessages,
): Html {
  return html`<div class="field">
    ${renderLabel(field, name)}
    <div>
      ${renderEntry(field, name, draft, problems)}
      <p class="help">
        ${renderCodeSpans(effectOf(field.path))}
        <span class="allowed">Allowed: ${renderCodeSpans(field.allowed)}.</span>
      </p>
    </div>
  </div>`;
}

function renderLabel(field: FieldModel, name: string): Html {
  return html`<label for="${name}" title="Allowed: ${field.allowed}"
    >${labelOf(field.name)}<code class="field-name">${field.name}</code></label
  >`;
}

function renderEntry(
  field: FieldModel,
  name: string,
  draft: DraftGroup,
  problems: FieldMessages,
): Html {
  const unit = unitOf(field.path);
  return html`<div class="entry">
      ${renderInput(field, name, textOf(draft, field), problems.has(name))}
      ${unit === '' ? EMPTY_HTML : html`<span class="unit">${unit}</span>`}
    </div>
    ${renderProblem(name, problems)}`;
}

function renderList(
  model: ListModel,
  name: string,
  items: DraftList,
  problems: FieldMessages,
): Html {
  const hasLists = model.item.members.some(member => member.kind === 'list');
  const isNested = name.includes('.');
  return html`${isNested ? EMPTY_HTML : renderGuide(model)}
    <input
      type="hidden"
      name="${joinName(name, COUNT_SUFFIX)}"
      value="${items.length}"
    />
    ${renderProblem(name, problems)}
    ${
      hasLists
        ? renderCards(model, name, items, problems)
        : renderTable(model, name, items, problems)
    }
    <p>
      ${renderButton('add', name, `Add ${singularOf(model.name)}`, 'add')}
    </p>`;
}

/** Renders items that contain lists, with links to each since they are long. */
function renderCards(
  model: ListModel,
  name: string,
  items: DraftList,
  problems: FieldMessages,
): Html {
  return html`<p class="jumps">
      ${items.map(
        (item, index) =>
          html`<a href="#${joinName(name, index)}"
            >${titleOf(model, item)}</a
          > `,
      )}
    </p>
    ${items.map((item, index) =>
      renderCard(model, joinName(name, index), item, problems),
    )}`;
}

function titleOf(model: ListModel, item: DraftGroup): string {
  return String(item['name'] || `unnamed ${singularOf(model.name)}`);
}

function renderCard(
  model: ListModel,
  name: string,
  item: DraftGroup,
  problems: FieldMessages,
): Html {
  const {members} = model.item;
  const lists = members.filter(member => member.kind === 'list');
  return html`<fieldset class="card" id="${name}">
    <legend>${labelOf(singularOf(model.name))} ${titleOf(model, item)}</legend>
    <div class="card-buttons">${renderItemButtons(name, item)}</div>
    ${renderProblem(name, problems)}
    <div class="card-fields">
      ${members
        .filter(isField)
        .map(field =>
          renderCompactField(field, joinName(name, field.name), item, problems),
        )}
    </div>
    ${lists.map(list => renderNestedList(list, name, item, problems))}
  </fieldset>`;
}

function renderNestedList(
  list: ListModel,
  parentName: string,
  parent: DraftGroup,
  problems: FieldMessages,
): Html {
  const name = joinName(parentName, list.name);
  return html`<h3 id="${name}">${labelOf(list.name)}</h3>
    ${renderList(list, name, parent[list.name] as DraftList, problems)}`;
}

function renderCompactField(
  field: FieldModel,
  name: string,
  draft: DraftGroup,
  problems: FieldMessages,
): Html {
  return html`<div class="compact-field">
    ${renderLabel(field, name)} ${renderEntry(field, name, draft, problems)}
  </div>`;
}

function renderTable(
  model: ListModel,
  name: string,
  items: DraftList,
  problems: FieldMessages,
): Html {
  const fields = model.item.members.filter(isField);
  return html`<div class="table-scroll">
    <table class="items">
      <thead>
        <tr>
          <th scope="col">#</th>
          ${fields.map(renderColumnHead)}
          <th scope="col"><span class="hidden">Order</span></th>
        </tr>
      </thead>
      <tbody>
        ${items.map((item, index) =>
          renderRow(fields, joinName(name, index), item, index, problems),
        )}
      </tbody>
    </table>
  </div>`;
}

function renderColumnHead(field: FieldModel): Html {
  const unit = unitOf(field.path);
  return html`<th scope="col" title="Allowed: ${field.allowed}">
    ${labelOf(field.name)}
    ${unit === '' ? EMPTY_HTML : html`<span class="unit">${unit}</span>`}
  </th>`;
}

function renderRow(
  fields: readonly FieldModel[],
  name: string,
  item: DraftGroup,
  index: number,
  problems: FieldMessages,
): Html {
  return html`<tr id="${name}">
    <td class="rank">${index + 1}</td>
    ${fields.map(field =>
      renderCell(field, joinName(name, field.name), item, problems),
    )}
    <td class="row-buttons"><div>${renderItemButtons(name, item)}</div></td>
  </tr>`;
}

function renderCell(
  field: FieldModel,
  name: string,
  item: DraftGroup,
  problems: FieldMessages,
): Html {
  return html`<td>
    ${renderInput(field, name, textOf(item, field), problems.has(name))}
    ${renderProblem(name, problems)}
  </td>`;
}

function renderItemButtons(name: string, item: DraftGroup): Html {
  const itemTitle = String(item['name'] || name);
  return html`${renderButton('up', name, '\u2191', `Move ${itemTitle} up`)}
  ${renderButton('down', name, '\u2193', `Move ${itemTitle} down`)}
  ${renderButton('remove', name, '\u2715', `Remove ${itemTitle}`)}`;
}

/** The response page opens at the edited section or item. */
function renderButton(
  verb: EditVerb,
  target: string,
  text: string,
  title: string,
): Html {
  return html`<button
    type="submit"
    class="edit ${verb}"
    name="${ACTION_FIELD}"
    value="${formatEdit({verb, target})}"
    formaction="edit#${anchorAfterEdit(verb, target)}"
    title="${title}"
  >
    ${text}
  </button>`;
}

function anchorAfterEdit(verb: EditVerb, target: string): string {
  const segments = target.split('.');
  // After a removal the page has no element for the last item of the list.
  const kept = verb === 'remove' ? segments.slice(0, -1) : segments;
  return kept.length === 1 ? `section-${String(kept[0])}` : kept.join('.');
}

function renderProblem(name: string, problems: FieldMessages): Html {
  const message = problems.get(name) ?? '';
  return html`<p class="problem" data-problem-of="${name}">${message}</p>`;
}

function textOf(draft: DraftGroup, field: FieldModel): string {
  const node = draft[field.name];
  return typeof node === 'string' ? node : '';
}

function isField(model: FormModel): model is FieldModel {
  return model.kind === 'field';
}
