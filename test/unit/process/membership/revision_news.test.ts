import test from 'ava';
import {createRevisionNews} from '../../../../src/process/membership/revision_news.js';

function createFixture() {
  const news = createRevisionNews();
  let behindCount = 0;
  const listen = () =>
    news.onBehind(() => {
      behindCount += 1;
    });
  return {news, listen, behindCount: () => behindCount};
}

test('a node is behind once another one has a later revision in force', t => {
  const {news, listen, behindCount} = createFixture();
  news.reread(10);
  listen();
  news.hear(9);
  news.hear(10);
  t.is(behindCount(), 0);
  news.hear(11);
  news.hear(12);
  t.is(behindCount(), 1);
  listen();
  t.is(behindCount(), 2);
  news.reach(12);
  listen();
  t.is(behindCount(), 2);
});

test('what a read does not bear out is forgotten', t => {
  const {news, listen, behindCount} = createFixture();
  news.hear(1000);
  news.reread(10);
  listen();
  t.is(behindCount(), 0);
  t.is(news.knownRevision, 10);
});

test('who listens no more is not told', t => {
  const {news, listen, behindCount} = createFixture();
  listen().dispose();
  news.hear(1);
  t.is(behindCount(), 0);
});
