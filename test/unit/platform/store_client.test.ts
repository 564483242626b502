import test from 'ava';
import {createStoreClient} from '../../../platform/store_client.js';
import {createFakeStore} from '../../fakes/fake_store.js';

test('pages from before and after a restore of the store are not combined', async t => {
  // A node used an upstream that the restored store did not hold: its list had
  // two pages, and the store was restored from an older copy between them.
  const store = createFakeStore();
  t.teardown(store.close);
  const {port} = await store.openEndpoint();
  const client = createStoreClient({address: '127.0.0.1', port});
  t.teardown(() => {
    client.dispose();
  });
  store.setPageSize(1);
  store.put('servers/b', {});
  const copy = store.takeSnapshot();
  store.put('servers/a', {});
  store.onSecondPage(() => {
    store.restore(copy);
  });
  const read = await client.read('servers/');
  t.deepEqual(
    read.documents.map(({key}) => key),
    ['servers/b'],
  );
});
