/**
 * Conversion of a document to forms and back to a document.
 */
import {readFileSync} from 'node:fs';
import test from 'ava';
import * as fc from 'fast-check';
import {createConsoleSession} from '../../../../src/cli/console/console_session.js';
import {
  checkDraft,
  createNextDraft,
  encodeDraft,
} from '../../../../src/cli/console/document_builder.js';
import type {DraftGroup} from '../../../../src/cli/console/draft.js';
import {readSubmission} from '../../../../src/cli/console/form_fields.js';
import {policyFormModel} from '../../../../src/cli/console/form_model.js';
import {renderForm} from '../../../../src/cli/console/form_renderer.js';
import {createStartingDraft} from '../../../../src/cli/console/draft_templates.js';
import {MAX_DOCUMENT_BYTES} from '../../../../src/version/json_document.js';
import type {Policy} from '../../../../src/version/policy.js';
import {readFields} from '../../../fakes/console_page.js';
import {
  compileOrThrow,
  createPolicyBytes,
} from '../../../fakes/policy_documents.js';

const EXAMPLES_URL = new URL('../../../../../examples/', import.meta.url);
const BASE = compileOrThrow(createPolicyBytes(5)).policy;

/** Renders the forms and parses their fields as a browser would submit them. */
function submitThroughForm(draft: DraftGroup): DraftGroup {
  const page = renderForm(policyFormModel, draft, new Map()).markup;
  return readSubmission(policyFormModel, readFields(page)).draft;
}

function decode(documentBytes: Uint8Array): Policy {
  return JSON.parse(new TextDecoder().decode(documentBytes)) as Policy;
}

for (const name of ['ilorin', 'tunis']) {
  test(`${name} is unchanged by the forms except for its version`, t => {
    const bytes = readFileSync(new URL(`${name}.json`, EXAMPLES_URL));
    const {policy} = compileOrThrow(bytes);
    const next = createNextDraft(policy);
    t.deepEqual(submitThroughForm(next), next);
    const documentBytes = encodeDraft(submitThroughForm(next));
    t.deepEqual(decode(documentBytes), {
      ...decode(bytes),
      version: policy.version + 1,
    });
    t.deepEqual(checkDraft(next, policy).problems, []);
  });
}

test('typed text is preserved, valid or not', t => {
  const text = fc.string({unit: 'grapheme'});
  const property = fc.property(text, text, (name, path) => {
    const [service] = createNextDraft(BASE)['services'] as DraftGroup[];
    const [route] = service!['routes'] as DraftGroup[];
    const routes = [{...route!, name, path}];
    const services = [{...service!, name: path, routes}];
    const draft = {...createNextDraft(BASE), deployment: name, services};
    t.deepEqual(submitThroughForm(draft), draft);
  });
  fc.assert(property, {numRuns: 50});
});

/** Values in the document for text typed as `version`. */
const numbers: readonly (readonly [text: string, value: unknown])[] = [
  ['12', 12],
  [' 12 ', 12],
  ['0.5', 0.5],
  ['-3', -3],
  ['1e3', 1_000],
  ['', undefined],
  ['  ', undefined],
  ['12x', '12x'],
  ['0x10', '0x10'],
  ['012', '012'],
  ['1,5', '1,5'],
  ['1e999', '1e999'],
  ['NaN', 'NaN'],
  ['Infinity', 'Infinity'],
  ['true', 'true'],
];

for (const [text, value] of numbers) {
  test(`a number typed as ${JSON.stringify(text)}`, t => {
    const document = decode(
      encodeDraft({...createNextDraft(BASE), version: text}),
    );
    t.is(document.version as unknown, value);
  });
}

test('a first document lacks exactly the values that the operator provides', t => {
  const {problems, compiled} = checkDraft(createStartingDraft(), undefined);
  t.is(compiled, undefined);
  t.deepEqual(
    problems.map(({path, value}) => [path, value]),
    [
      ['$.deployment', undefined],
      ['$.availabilityZones[0].name', undefined],
      ['$.availabilityZones[0].region', undefined],
    ],
  );
});

test('an update needs a higher version and the same deployment', t => {
  const draft = {...createNextDraft(BASE), version: '5', deployment: 'other'};
  const {problems} = checkDraft(draft, BASE);
  t.deepEqual(
    problems.map(({path}) => path),
    ['$.version', '$.deployment'],
  );
});

test('a version is saved once, and a draft with problems is not saved', t => {
  const session = createConsoleSession({
    previous: compileOrThrow(createPolicyBytes(5)),
    outputFile: undefined,
  });
  const draft = session.createInitialDraft();
  t.is(session.save({...draft, version: ''}).kind, 'refused');
  t.is(session.saved(), undefined);
  t.is(session.save(draft).kind, 'saved');
  t.is(session.saved()?.version, 6);
  t.is(session.save(draft).kind, 'refused');
  t.is(session.createInitialDraft()['version'], '7');
});

test('a document that is too large with line breaks is written without them', t => {
  const [service] = BASE.services;
  const routes = Array.from({length: 500}, (_, index) => ({
    ...service!.routes[0]!,
    name: `route-${String(index)}`,
    path: `/routes-${String(index)}`,
  }));
  const services = Array.from({length: 9}, (_, index) => ({
    ...service!,
    name: `service-${String(index)}`,
    routes,
  }));
  const documentBytes = encodeDraft(createNextDraft({...BASE, services}));
  t.true(documentBytes.byteLength <= MAX_DOCUMENT_BYTES);
  t.false(documentBytes.includes('\n'.charCodeAt(0)));
  t.is(decode(documentBytes).services[8]?.routes.length, 500);
});
