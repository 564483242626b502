import test from 'ava';

import {createProcessStateSection} from '../../../src/process/process_state.js';
import {parseSettings} from '../../../src/process/settings_schema.js';
import {createManualTimeSource} from '../../fakes/manual_time_source.js';
import {settingsBytes} from '../../fakes/minimal_settings.js';

test('running time counts from the start, whatever the wall clock does', t => {
  const parsed = parseSettings(settingsBytes());
  if (parsed.kind !== 'parsed') throw new Error('settings are not valid');
  const time = createManualTimeSource();
  const startedWallMillis = time.wallMillis();
  const section = createProcessStateSection(parsed.settings, time);
  time.advance(2500);
  t.like(section(), {
    hostName: 'orderdesk-1',
    availabilityZone: 'zone-a',
    pid: process.pid,
    startedWallMillis,
    runningMillis: 2500,
  });
});
