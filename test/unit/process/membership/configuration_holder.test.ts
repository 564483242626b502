import test from 'ava';
import {createConfigurationHolder} from '../../../../src/process/membership/configuration_holder.js';
import {routeTable} from '../../../fakes/route_documents.js';

test('an older or equal version never replaces the active one', t => {
  // Guards against requests that follow a removed route: a delayed read returns
  // an older version, which must not replace the newer one.
  const holder = createConfigurationHolder();
  t.is(holder.current(), undefined);
  t.is(holder.update(routeTable({version: 7})), 'accepted');
  t.is(holder.update(routeTable({version: 6})), 'not-newer');
  t.is(holder.update(routeTable({version: 7})), 'not-newer');
  t.is(holder.current()?.version, 7);
  t.is(holder.update(routeTable({version: 16})), 'accepted');
});
