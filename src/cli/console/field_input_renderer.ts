/**
 * The control by which one value is entered.
 */
import type {FieldModel} from './form_model.js';
import type {Html} from './html.js';
import {html, NO_HTML} from './html.js';

/** Id of the list of class names that route fields suggest. */
export const CLASS_NAMES_ID = 'class-names';

const CLASS_REFERENCE_PATH = 'services[].routes[].className';

interface Option {
  readonly value: string;
  readonly text: string;
}

const SWITCH_OPTIONS: readonly Option[] = [
  {value: 'true', text: 'yes'},
  {value: 'false', text: 'no'},
];

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
    case 'choice': {
      const options = input.words.map(word => ({value: word, text: word}));
      return renderSelect(field, name, text, isInvalid, options);
    }
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
      ? html` list="${CLASS_NAMES_ID}"`
      : NO_HTML;
  // No `type=number`: browsers send nothing for text they cannot read, and
  // the operator would not see what was refused.
  return html`<input
    type="text"
    id="${name}"
    name="${name}"
    class="${isNumber ? 'number' : 'text'} ${field.name}"
    value="${text}"
    inputmode="${isNumber ? 'decimal' : 'text'}"
    autocomplete="off"
    spellcheck="false"
    title="Allowed: ${field.allowed}"
    aria-label="${field.name}"
    aria-invalid="${String(isInvalid)}"
    ${suggestions}
  />`;
}

function renderSelect(
  field: FieldModel,
  name: string,
  text: string,
  isInvalid: boolean,
  options: readonly Option[],
): Html {
  return html`<select
    id="${name}"
    name="${name}"
    title="Allowed: ${field.allowed}"
    aria-label="${field.name}"
    aria-invalid="${String(isInvalid)}"
  >
    ${renderOption({value: '', text: 'choose'}, text)}
    ${options.map(option => renderOption(option, text))}
  </select>`;
}

function renderOption({value, text}: Option, selected: string): Html {
  if (value !== selected) {
    return html`<option value="${value}">${text}</option>`;
  }
  return html`<option value="${value}" selected>${text}</option>`;
}
