/**
 * Responds to bytes that are not a valid HTTP request.
 */
import {STATUS_CODES} from 'node:http';
import type {ClientConnection} from './client_connection.js';

const STATUS_BAD_REQUEST = 400;

/** Status codes by the error of the parser. */
const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/**
 * Responds and closes the connection, once the requests before the invalid bytes have
 * their responses. If the bytes belong to the body of a request whose response is under
 * way, the client would take this one for a part of it.
 */
export function respondToClientError(
  connection: ClientConnection,
  error: NodeJS.ErrnoException,
): void {
  const {socket, newestResponse} = connection;
  // What follows the invalid bytes is discarded as well.
  if (connection.isEnding) return;
  const openCount = connection.openCount();
  if (openCount > 0 && newestResponse?.req.complete === true) {
    connection.endWhenAnswered(() => {
      sendErrorResponse(connection, error);
    });
    return;
  }
  const isHeaderUnsent =
    openCount === 1 && newestResponse?.headersSent === false;
  if (!socket.writable || (openCount > 0 && !isHeaderUnsent)) {
    socket.destroy(error);
    return;
  }
  sendErrorResponse(connection, error);
}

function sendErrorResponse(
  connection: ClientConnection,
  error: NodeJS.ErrnoException,
): void {
  const statusCode =
    STATUS_BY_ERROR_CODE[error.code ?? ''] ?? STATUS_BAD_REQUEST;
  const reason = STATUS_CODES[statusCode] ?? '';
  connection.socket.write(
    `HTTP/1.1 ${String(statusCode)} ${reason}\r\nConnection: close\r\n\r\n`,
  );
  connection.cancelRequests();
  connection.closeAfterResponse();
}
