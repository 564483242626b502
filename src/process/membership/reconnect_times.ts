/**
 * Times within which a lost connection between two nodes is replaced. Shared by both of
 * its ends: a receiver must not end work before its sender can have reconnected.
 */

/** Longest wait for a reply of a node. */
export const MAX_REPLY_TIMEOUT_MILLIS = 1500;

/** Interval at which connections are checked for silence. */
export const SILENCE_CHECK_MILLIS = 100;

/** Pause between attempts to reconnect; an attempt may be reset immediately. */
export const RECONNECT_PAUSE_MILLIS = 100;

/**
 * Time for which a node must refuse connections, after the connection of a request was
 * lost, to be treated as ended: its listener may be restarted while its process works.
 */
export const REFUSED_WINDOW_MILLIS = MAX_REPLY_TIMEOUT_MILLIS;

/** Attempts to reconnect for which a receiver waits: any single one may fail. */
const RECONNECT_ATTEMPTS_COUNT = 2;

/**
 * Time from the loss of a connection at the receiver until its sender has reconnected:
 * the sender may detect the loss only as silence.
 */
export const RECONNECT_WINDOW_MILLIS =
  MAX_REPLY_TIMEOUT_MILLIS +
  SILENCE_CHECK_MILLIS +
  RECONNECT_ATTEMPTS_COUNT *
    (MAX_REPLY_TIMEOUT_MILLIS + RECONNECT_PAUSE_MILLIS);
