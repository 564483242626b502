/**
 * Browser script that has the server check the forms while the operator types.
 * Without it, the button `Check` does the same. It contains no checks of its own,
 * and all markup comes from the server, which escapes it.
 */

/** The subset of the DOM that is used. */
interface PageElement {
  readonly id: string;
  readonly dataset: Readonly<Record<string, string | undefined>>;
  readonly childNodes: Iterable<PageElement>;
  textContent: string | null;
  replaceChildren(...nodes: readonly PageElement[]): void;
  setAttribute(name: string, value: string): void;
  addEventListener(type: string, listener: () => void): void;
}

interface UnloadEvent {
  preventDefault(): void;
}

interface Page {
  getElementById(id: string): PageElement | null;
  querySelectorAll(selector: string): Iterable<PageElement>;
}

interface Browser {
  readonly document: Page;
  readonly DOMParser: new () => {
    parseFromString(text: string, type: string): Page;
  };
  addEventListener(
    type: 'beforeunload',
    listener: (event: UnloadEvent) => void,
  ): void;
  readonly FormData: new (form: PageElement) => Iterable<[string, string]>;
}

const browser = globalThis as unknown as Browser;
const {document: page, DOMParser, FormData} = browser;

const DEBOUNCE_MILLIS = 300;

const form = page.getElementById('policy-form');
if (form !== null) {
  watchForm(form);
  warnBeforeUnload(form);
}

function watchForm(formElement: PageElement): void {
  let timer: ReturnType<typeof setTimeout> | undefined;
  let running: AbortController | undefined;
  formElement.addEventListener('input', () => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      // A late response to an older check would replace the newer result.
      running?.abort();
      running = new AbortController();
      void checkForm(formElement, running.signal);
    }, DEBOUNCE_MILLIS);
  });
}

/** Drafts exist only in the page; closing it by mistake would lose the draft. */
function warnBeforeUnload(formElement: PageElement): void {
  let isChanged = formElement.dataset['changed'] === 'true';
  formElement.addEventListener('input', () => {
    isChanged = true;
  });
  formElement.addEventListener('submit', () => {
    isChanged = false;
  });
  browser.addEventListener('beforeunload', event => {
    if (isChanged) event.preventDefault();
  });
}

async function checkForm(
  formElement: PageElement,
  signal: AbortSignal,
): Promise<void> {
  try {
    const response = await fetch('check', {
      method: 'POST',
      body: new URLSearchParams(new FormData(formElement)),
      signal,
    });
    const text = await response.text();
    if (response.ok) {
      showCheckResult(new DOMParser().parseFromString(text, 'text/html'));
    } else {
      showStatus('The check failed: use the button Check.');
    }
  } catch {
    if (!signal.aborted) showStatus('No answer: is the console still running?');
  }
}

function showCheckResult(checkedPage: Page): void {
  for (const part of checkedPage.querySelectorAll('[data-live]')) {
    page.getElementById(part.id)?.replaceChildren(...part.childNodes);
  }
  const messages = new Map<string | undefined, string>();
  for (const item of checkedPage.querySelectorAll('#field-problems li')) {
    messages.set(item.dataset['name'], item.textContent ?? '');
  }
  for (const messageElement of page.querySelectorAll('[data-problem-of]')) {
    const name = messageElement.dataset['problemOf'] ?? '';
    const message = messages.get(name) ?? '';
    // Most messages do not change, and each change triggers a layout.
    if (messageElement.textContent === message) continue;
    messageElement.textContent = message;
    const input = page.getElementById(name);
    input?.setAttribute('aria-invalid', String(message !== ''));
  }
}

function showStatus(text: string): void {
  const state = page.getElementById('live-state');
  if (state !== null) state.textContent = text;
}
