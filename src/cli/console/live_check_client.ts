/**
 * Runs in the browser: checks the forms on the server while the operator types.
 * Without it the button `Check` does the same. Nothing is decided here, and all
 * markup comes from the server, which escapes it.
 */

/** The few parts of the browser's interface that are used. */
interface PageNode {
  readonly id: string;
  readonly dataset: Readonly<Record<string, string | undefined>>;
  readonly childNodes: Iterable<PageNode>;
  textContent: string | null;
  replaceChildren(...nodes: readonly PageNode[]): void;
  setAttribute(name: string, value: string): void;
  addEventListener(type: string, listener: () => void): void;
}

interface LeaveEvent {
  preventDefault(): void;
}

interface Page {
  getElementById(id: string): PageNode | null;
  querySelectorAll(selector: string): Iterable<PageNode>;
}

interface Browser {
  readonly document: Page;
  readonly DOMParser: new () => {
    parseFromString(text: string, type: string): Page;
  };
  addEventListener(
    type: 'beforeunload',
    listener: (event: LeaveEvent) => void,
  ): void;
  readonly FormData: new (form: PageNode) => Iterable<[string, string]>;
}

const browser = globalThis as unknown as Browser;
const {document: page, DOMParser, FormData} = browser;

const PAUSE_MILLIS = 300;

const form = page.getElementById('policy-form');
if (form !== null) {
  watchForm(form);
  warnOfLoss(form);
}

function watchForm(watched: PageNode): void {
  let timer: ReturnType<typeof setTimeout> | undefined;
  let running: AbortController | undefined;
  watched.addEventListener('input', () => {
    clearTimeout(timer);
    timer = setTimeout(() => {
      // An older answer that arrives late would hide the newer one.
      running?.abort();
      running = new AbortController();
      void checkForm(watched, running.signal);
    }, PAUSE_MILLIS);
  });
}

/** Drafts live in the page alone; closing it by mistake would lose one. */
function warnOfLoss(watched: PageNode): void {
  let isChanged = watched.dataset['changed'] === 'true';
  watched.addEventListener('input', () => {
    isChanged = true;
  });
  watched.addEventListener('submit', () => {
    isChanged = false;
  });
  browser.addEventListener('beforeunload', event => {
    if (isChanged) event.preventDefault();
  });
}

async function checkForm(
  watched: PageNode,
  signal: AbortSignal,
): Promise<void> {
  try {
    const response = await fetch('check', {
      method: 'POST',
      body: new URLSearchParams(new FormData(watched)),
      signal,
    });
    const text = await response.text();
    if (response.ok) {
      showCheck(new DOMParser().parseFromString(text, 'text/html'));
    } else {
      showState('The check failed: use the button Check.');
    }
  } catch {
    if (!signal.aborted) showState('No answer: is the console still running?');
  }
}

function showCheck(fresh: Page): void {
  for (const part of fresh.querySelectorAll('[data-live]')) {
    page.getElementById(part.id)?.replaceChildren(...part.childNodes);
  }
  const messages = new Map<string | undefined, string>();
  for (const item of fresh.querySelectorAll('#field-problems li')) {
    messages.set(item.dataset['name'], item.textContent ?? '');
  }
  for (const place of page.querySelectorAll('[data-problem-of]')) {
    const name = place.dataset['problemOf'] ?? '';
    const message = messages.get(name) ?? '';
    // Most places stay as they are, and each change costs a layout.
    if (place.textContent === message) continue;
    place.textContent = message;
    const input = page.getElementById(name);
    input?.setAttribute('aria-invalid', String(message !== ''));
  }
}

function showState(text: string): void {
  const state = page.getElementById('live-state');
  if (state !== null) state.textContent = text;
}
