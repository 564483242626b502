import test from 'ava';
import {createRouteTable} from '../../../src/version/route_table.js';
import {routeConfiguration, serviceRoute} from '../../fakes/route_documents.js';

test('the longest prefix of the host wins', t => {
  const table = createRouteTable(
    routeConfiguration({
      routes: [
        serviceRoute({name: 'short', pathPrefix: '/a/'}),
        serviceRoute({name: 'long', pathPrefix: '/a/b/'}),
        serviceRoute({name: 'other', hostName: 'other.example'}),
      ],
    }),
  );
  t.is(table.match('shop.example', '/a/b/c')?.name, 'long');
  t.is(table.match('shop.example', '/a/bc')?.name, 'short');
  t.is(table.match('OTHER.example:8080', '/a/b/c?x=1')?.name, 'other');
});

test('a path is matched without its query', t => {
  const table = createRouteTable(
    routeConfiguration({routes: [serviceRoute({pathPrefix: '/a/'})]}),
  );
  t.is(table.match('shop.example', '/b?next=/a/'), undefined);
  t.is(table.match('shop.example', '/a'), undefined);
  t.is(table.match('unknown.example', '/a/'), undefined);
});
