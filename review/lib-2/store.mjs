/**
 * Stand-in of the platform's metadata store: items, pages and watches, as the pages
 * describe them. It loses nothing and answers at once, unless it is silenced.
 */
import http from 'node:http';
import {Buffer} from 'node:buffer';
import {clearTimeout, setTimeout} from 'node:timers';
import {URL} from 'node:url';

const PAGE_ITEMS_COUNT = 500;

export function createStore() {
  const items = new Map();
  const history = [];
  const waiting = new Set();
  const sockets = new Set();
  let rev = 100;
  let isSilent = false;

  const wake = () => {
    for (const check of [...waiting]) check();
  };
  const put = (key, value) => {
    rev += 1;
    const created = items.get(key)?.created ?? rev;
    const text = JSON.stringify(value);
    const item = {
      key,
      value: Buffer.from(text).toString('base64'),
      rev,
      created,
      lease: 0,
    };
    items.set(key, item);
    history.push(item);
    wake();
  };
  const remove = key => {
    if (!items.delete(key)) return;
    rev += 1;
    history.push({key, rev, deleted: true});
    wake();
  };
  const reply = (response, body) => {
    if (isSilent) return;
    response.writeHead(200, {
      'content-type': 'application/json',
      'store-era': '1',
    });
    response.end(JSON.stringify(body));
  };
  const range = (response, query) => {
    const prefix = query.get('prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({key}) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    const page = found.slice(0, PAGE_ITEMS_COUNT);
    reply(response, {
      items: page,
      hasMore: found.length > page.length,
      atRev: rev,
    });
  };
  const watch = (response, query) => {
    const prefix = query.get('prefix') ?? '';
    const after = Number(query.get('after') ?? 0);
    const answer = events => {
      waiting.delete(check);
      clearTimeout(timer);
      reply(response, {events, atRev: rev});
    };
    const check = () => {
      const events = history.filter(
        event => event.rev > after && event.key.startsWith(prefix),
      );
      if (events.length > 0) answer(events);
    };
    const timer = setTimeout(() => answer([]), Number(query.get('waitMs')));
    response.on('close', () => {
      waiting.delete(check);
      clearTimeout(timer);
    });
    waiting.add(check);
    check();
  };
  const server = http.createServer((request, response) => {
    if (isSilent) return;
    const url = new URL(request.url, 'http://store');
    if (url.pathname === '/kv-range') range(response, url.searchParams);
    else if (url.pathname === '/kv-watch') watch(response, url.searchParams);
    else response.writeHead(404).end();
  });
  server.on('connection', socket => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  return {
    put,
    remove,
    /** The store is down: it accepts connections and says nothing. */
    setSilent: silent => {
      isSilent = silent;
      if (silent) return;
      for (const socket of sockets) socket.destroy();
    },
    listen: (port, ip) =>
      new Promise((resolve, reject) => {
        server.once('error', reject);
        server.listen(port, ip, resolve);
      }),
    close: () => {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}
