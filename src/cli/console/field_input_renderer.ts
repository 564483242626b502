/**
 * The control by which one value is entered.
 */
import {labelOf} from './field_words.js';
import type {FieldModel} from './form_model.js';
import type {Html} from './html.js';
import {html, NO_HTML} from './html.js';

/** Id of the list of class names that route fields suggest. */
export const CLASS_NAMES_ID = 'class-names';

const CLASS_REFERENCE_PATH = 'services[].routes[].className';

const SWITCH_WORDS = ['true', 'false'];

/** Draws the control with the text typed so far. */
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
      return renderSelect(field, name, text, isInvalid, input.words);
    case 'switch':
      return renderSelect(field, name, text, isInvalid, SWITCH_WORDS);
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
      : NO_HTML;
  // No `type=number`: browsers send nothing for text they cannot read, and
  // the operator would not see what was refused.
  return html`<input
    type="text"
    id="${name}"
    name="${name}"
    class="${isNumber ? 'number' : 'text'} ${field.name}"
    value="${text}"
    aria-label="${labelOf(field.name)}"
    ${suggestions}
    ${markInvalid(isInvalid)}
  />`;
}

function renderSelect(
  field: FieldModel,
  name: string,
  text: string,
  isInvalid: boolean,
  words: readonly string[],
): Html {
  return html`<select
    id="${name}"
    name="${name}"
    aria-label="${labelOf(field.name)}"
    ${markInvalid(isInvalid)}
  >
    ${renderOption('', 'choose', text)}
    ${words.map(word => renderOption(word, word, text))}
  </select>`;
}

function renderOption(value: string, text: string, selected: string): Html {
  if (value !== selected) {
    return html`<option value="${value}">${text}</option>`;
  }
  return html`<option value="${value}" selected>${text}</option>`;
}

function markInvalid(isInvalid: boolean): Html {
  return isInvalid ? html`aria-invalid="true"` : NO_HTML;
}
