import {isIPv4} from 'node:net';

const MAX_PORT = 65_535;
const PORT = /^[1-9]\d{0,4}$/;

/** Whether a text is an IPv4 address and a port to connect to, `IP:PORT`. */
export function isAddress(text: string): boolean {
  const colon = text.indexOf(':');
  const port = text.slice(colon + 1);
  if (colon < 0 || !PORT.test(port) || Number(port) > MAX_PORT) return false;
  return isIPv4(text.slice(0, colon));
}
