/**
 * Renders the input control of a field.
 */
import {labelOf} from './field_labels.js';
import type {FieldModel} from './form_model.js';
import type {Html} from './html.js';
import {html, EMPTY_HTML} from './html.js';

/** Id of the `datalist` of class names that routes can refer to. */
export const CLASS_NAMES_ID = 'class-names';

const CLASS_REFERENCE_PATH = 'services[].routes[].className';

const SWITCH_OPTIONS = ['true', 'false'];

/** Renders the control with its current text. */
export function renderInput(
  field: FieldModel,
  name: string,
  text: string,
  isInvalid: boolean,
): Html {
  const {input} = field;
  switch (input.kind) {
    case 'text':
    case 'number':
      return renderTextInput(field, name, text, isInvalid);
    case 'choice':
      return renderSelect(field, name, text, isInvalid, input.options);
    case 'switch':
      return renderSelect(field, name, text, isInvalid, SWITCH_OPTIONS);
    case 'fixed':
      return html`<input
        id="${name}"
        name="${name}"
        class="number"
        value="${text}"
        readonly
      />`;
  }
}

function renderTextInput(
  field: FieldModel,
  name: string,
  text: string,
  isInvalid: boolean,
): Html {
  const isNumber = field.input.kind === 'number';
  const suggestions =
    field.path === CLASS_REFERENCE_PATH
      ? html`list="${CLASS_NAMES_ID}"`
      : EMPTY_HTML;
  // Not `type=number`: browsers submit an empty value for invalid text, and
  // the operator would not see what was rejected.
  return html`<input
    type="text"
    id="${name}"
    name="${name}"
    class="${isNumber ? 'number' : 'text'} ${field.name}"
    value="${text}"
    aria-label="${labelOf(field.name)}"
    ${suggestions}
    ${renderInvalidAttribute(isInvalid)}
  />`;
}

function renderSelect(
  field: FieldModel,
  name: string,
  text: string,
  isInvalid: boolean,
  options: readonly string[],
): Html {
  return html`<select
    id="${name}"
    name="${name}"
    aria-label="${labelOf(field.name)}"
    ${renderInvalidAttribute(isInvalid)}
  >
    ${renderOption('', 'choose', text)}
    ${options.map(word => renderOption(word, word, text))}
  </select>`;
}

function renderOption(value: string, text: string, selected: string): Html {
  if (value !== selected) {
    return html`<option value="${value}">${text}</option>`;
  }
  return html`<option value="${value}" selected>${text}</option>`;
}

function renderInvalidAttribute(isInvalid: boolean): Html {
  return isInvalid ? html`aria-invalid="true"` : EMPTY_HTML;
}
