import {Writable} from 'node:stream';

import test from 'ava';

import {TransportError} from '../../../src/base/errors.js';
import {createBunyanLogger, errorFields} from '../../../src/process/logger.js';
import type {LogSettings} from '../../../src/process/settings.js';

function createRecorder(level: LogSettings['level']) {
  const texts: string[] = [];
  const stream = new Writable({
    write: (chunk: Buffer, _encoding, done) => {
      texts.push(chunk.toString('utf8'));
      done();
    },
  });
  const logger = createBunyanLogger({
    settings: {level},
    hostName: 'host-1',
    stream,
  });
  const lines = (): Record<string, unknown>[] =>
    texts.map(text => JSON.parse(text) as Record<string, unknown>);
  return {logger, texts, lines};
}

test('each event is one JSON line with its fields and the host', t => {
  const {logger, texts, lines} = createRecorder('info');
  logger.info('node-ready', {caller: 80, note: 'a\nb'});
  logger.warn('peer-lost', {peer: 'host-2'});
  t.true(texts.every(text => text.indexOf('\n') === text.length - 1));
  t.like(lines()[0], {
    name: 'fulmarhollowd',
    node: 'host-1',
    level: 30,
    event: 'node-ready',
    caller: 80,
    note: 'a\nb',
  });
  t.like(lines()[1], {level: 40, event: 'peer-lost', peer: 'host-2'});
});

test('events below the level are left out', t => {
  const {logger, lines} = createRecorder('error');
  logger.info('node-ready');
  logger.warn('peer-lost');
  logger.error('task-failed', {step: 'connect', peer: 'h', message: 'm'});
  t.deepEqual(
    lines().map(line => line['event']),
    ['task-failed'],
  );
});

test('error lines carry the step and the peer of the error', t => {
  const {logger, lines} = createRecorder('info');
  const origin = {step: 'run', peer: 'host-1'};
  const props = {step: 'connect', peer: 'host-2'};
  const own = new TransportError('reset', {props});
  logger.error('task-failed', errorFields(own, origin));
  logger.error('task-failed', errorFields(new TypeError('bug'), origin));
  logger.error('task-failed', errorFields('text', origin));
  t.like(lines()[0], {...props, message: 'reset', level: 50});
  t.like(lines()[1], {...origin, message: 'bug'});
  t.like(lines()[2], {...origin, message: 'text'});
});
