import test from 'ava';
import {routeTable, serviceRoute} from '../../fakes/route_documents.js';

function query(host: string, target: string) {
  return {method: 'GET', host, target};
}

test('the longest prefix of the host wins', t => {
  const table = routeTable({
    routes: [
      serviceRoute({name: 'short', pathPrefix: '/a/'}),
      serviceRoute({name: 'long', pathPrefix: '/a/b/'}),
      serviceRoute({name: 'other', hostName: 'other.example'}),
    ],
  });
  t.is(table.match(query('shop.example', '/a/b/c'))?.name, 'long');
  t.is(table.match(query('shop.example', '/a/bc'))?.name, 'short');
  t.is(table.match(query('OTHER.example:8080', '/a/b/c?x=1'))?.name, 'other');
});

test('a path is matched without its query', t => {
  const table = routeTable({routes: [serviceRoute({pathPrefix: '/a/'})]});
  t.is(table.match(query('shop.example', '/b?next=/a/')), undefined);
  t.is(table.match(query('shop.example', '/a')), undefined);
  t.is(table.match(query('unknown.example', '/a/')), undefined);
});
