import test from 'ava';
import {createStoreClient} from '../../../platform/store_client.js';
import {createStandInStore} from '../../fakes/stand_in_store.js';

test('pages from before and after a restore of the store are not combined', async t => {
  // A node used an upstream that the restored store did not hold: its list had
  // two pages, and the store was restored from an older copy between them.
  const store = createStandInStore();
  t.teardown(store.close);
  const {port} = await store.openEntrance();
  const client = createStoreClient({address: '127.0.0.1', port});
  t.teardown(() => {
    client.dispose();
  });
  store.setPageItems(1);
  store.put('servers/b', {});
  const copy = store.copy();
  store.put('servers/a', {});
  store.beforeSecondPage(() => {
    store.restore(copy);
  });
  const read = await client.read('servers/');
  t.deepEqual(
    read.documents.map(({key}) => key),
    ['servers/b'],
  );
});
