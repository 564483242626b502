/**
 * Handles the requests for the pages of the console.
 */
import {readFileSync} from 'node:fs';
import type * as http from 'node:http';
import {isDeepStrictEqual} from 'node:util';
import {summarizeDraft} from './draft_summary.js';
import type {ConsoleSession} from './console_session.js';
import type {DraftReport} from './document_builder.js';
import type {DraftGroup} from './draft.js';
import {applyEdit, parseEdit} from './draft_edits.js';
import {toFieldProblems} from './field_problems.js';
import {readFormBody} from './form_body.js';
import type {FormSubmission} from './form_fields.js';
import {readSubmission} from './form_fields.js';
import {policyFormModel} from './form_model.js';
import type {HttpResponse} from './http_response.js';
import {pageResponse, textResponse} from './http_response.js';
import type {PageView, SavedNotice} from './page_renderer.js';
import {renderLiveParts, renderPage} from './page_renderer.js';
import {STYLESHEET} from './stylesheet.js';

/** Handles a request that passed the request guard. */
export type PageHandler = (
  request: http.IncomingMessage,
  page: string,
) => Promise<HttpResponse>;

const OK = 200;
const NOT_FOUND = 404;
const METHOD_NOT_ALLOWED = 405;
const UNPROCESSABLE = 422;

/** Creates the handler for all pages. */
export function createPageHandler(session: ConsoleSession): PageHandler {
  const script = readFileSync(new URL('live_check_client.js', import.meta.url));
  return async (request, page) => {
    if (request.method === 'GET') return handleGet(session, script, page);
    if (request.method !== 'POST') {
      return textResponse(METHOD_NOT_ALLOWED, 'Only GET and POST.');
    }
    const fields = await readFormBody(request);
    const submission = readSubmission(policyFormModel, fields);
    return handleForm(session, page, submission);
  };
}

function handleGet(
  session: ConsoleSession,
  script: Uint8Array,
  page: string,
): HttpResponse {
  switch (page) {
    case '':
      return pageResponse(
        OK,
        renderPage(createPageView(session, session.createInitialDraft())),
      );
    case 'console.css':
      return {statusCode: OK, contentType: 'text/css', body: STYLESHEET};
    case 'live_check.js':
      return {statusCode: OK, contentType: 'text/javascript', body: script};
    case 'document':
      return handleDownload(session);
    default:
      return textResponse(NOT_FOUND, 'No such page.');
  }
}

function handleForm(
  session: ConsoleSession,
  page: string,
  {draft, action}: FormSubmission,
): HttpResponse {
  switch (page) {
    case 'edit': {
      const edited =
        action === '' ? draft : applyEdit(draft, parseEdit(action));
      return pageResponse(OK, renderPage(createPageView(session, edited)));
    }
    case 'check':
      return pageResponse(OK, renderLiveParts(createPageView(session, draft)));
    case 'save':
      return handleSave(session, draft);
    default:
      return textResponse(NOT_FOUND, 'No such page.');
  }
}

function handleSave(session: ConsoleSession, draft: DraftGroup): HttpResponse {
  const result = session.save(draft);
  if (result.kind === 'refused') {
    const report = {...session.check(draft), problems: result.problems};
    const view = createPageView(session, draft, report);
    return pageResponse(UNPROCESSABLE, renderPage(view));
  }
  const {policy, version, digest} = result.compiled;
  const saved = {
    deployment: policy.deployment,
    version,
    digest,
    file: session.outputFile,
  };
  const next = session.createInitialDraft();
  const view = createPageView(session, next, session.check(next), saved);
  return pageResponse(OK, renderPage(view));
}

function handleDownload(session: ConsoleSession): HttpResponse {
  const saved = session.saved();
  if (saved === undefined) return textResponse(NOT_FOUND, 'Nothing saved yet.');
  // The schema allows only letters, digits and hyphens in the name.
  const fileName = `${saved.policy.deployment}-v${String(saved.version)}.json`;
  return {
    statusCode: OK,
    contentType: 'application/json',
    body: saved.documentBytes,
    fileName,
  };
}

function createPageView(
  session: ConsoleSession,
  draft: DraftGroup,
  report: DraftReport = session.check(draft),
  saved?: SavedNotice,
): PageView {
  const {compiled, problems, warnings, updateWarnings} = report;
  const previous = session.previous()?.policy;
  return {
    draft,
    problems: toFieldProblems(problems),
    warnings: toFieldProblems(warnings),
    updateWarnings,
    summary: compiled && summarizeDraft(compiled, previous),
    saved,
    isSaved: saved !== undefined,
    isChanged: !isDeepStrictEqual(draft, session.createInitialDraft()),
    outputFile: session.outputFile,
  };
}
