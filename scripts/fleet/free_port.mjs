import {createSocket} from 'node:dgram';
import {createServer} from 'node:net';

// Below the ephemeral range, from which the system assigns ports for outgoing
// connections and for listeners on port 0: no process gets one by chance.
const FIRST_PORT = 20_000;
const PORT_COUNT = 10_000;
const MAX_TRIES = 50;

function canBindTcp(ip, port) {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => server.close(() => resolve(true)));
  });
}

function canBindUdp(ip, port) {
  const socket = createSocket('udp4');
  return new Promise(resolve => {
    socket.once('error', () => socket.close(() => resolve(false)));
    socket.bind(port, ip, () => socket.close(() => resolve(true)));
  });
}

/** Whether a port is free on all addresses, over TCP and over UDP. */
export async function isFree(ips, port) {
  for (const ip of ips) {
    if (!(await canBindTcp(ip, port)) || !(await canBindUdp(ip, port))) {
      return false;
    }
  }
  return true;
}

/** Finds a port that is free on all addresses, over TCP and over UDP. */
export async function freePort(ips) {
  for (let i = 0; i < MAX_TRIES; i++) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (await isFree(ips, port)) return port;
  }
  throw new Error(`no port is free on ${ips.join(', ')}`);
}
