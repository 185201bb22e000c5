/** Answers to bytes that are no request. */

const STATUS_LINES: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const BAD_REQUEST = '400 Bad Request';

/** Writes a response without a body, behind which the connection closes. */
export function writeBadRequest({ code = '' }: NodeJS.ErrnoException): string {
  const line = STATUS_LINES[code] ?? BAD_REQUEST;
  return `HTTP/1.1 ${line}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`;
}
