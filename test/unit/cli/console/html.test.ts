import test from 'ava';
import * as fc from 'fast-check';
import {html, renderCodeSpans} from '../../../../src/cli/console/html.js';
import {unescapeText} from '../../../fakes/console_page.js';

test('inserted text cannot end a tag, an attribute or an entity', t => {
  fc.assert(
    fc.property(fc.string({unit: 'grapheme'}), text => {
      for (const {markup} of [html`${text}`, html`${[text]}`]) {
        t.false(/[<>"']|&(?!(?:amp|lt|gt|quot|#39);)/.test(markup));
        t.is(unescapeText(markup), text);
      }
    }),
  );
});

test('nested markup keeps its tags, and its text is escaped once', t => {
  t.is(html`<b>${html`<i>${'<&'}</i>`}</b>`.markup, '<b><i>&lt;&amp;</i></b>');
  const words = renderCodeSpans('a `<b>` c');
  t.is(html`${words}`.markup, 'a <code>&lt;b&gt;</code> c');
});
