import {request} from 'undici';
import type {RemoteReservation} from '../sessions/remote_reservation.js';

const REMOTE_TIMEOUT_MS = 2_000;

/** Restarts the TTL of reservations; false if any of them failed. */
export async function useReservations(
  reservations: RemoteReservation[],
): Promise<boolean> {
  const answers = await Promise.all(
    reservations.map(({url, sessionId}) =>
      sendRequest('POST', `${url}/wl/reservations/${sessionId}/use`),
    ),
  );
  return answers.every(status => status === 200);
}

/** Releases reservations; on unreachable engines they expire by TTL. */
export async function releaseReservations(
  reservations: RemoteReservation[],
): Promise<void> {
  await Promise.all(
    reservations.map(({url, sessionId}) =>
      sendRequest('DELETE', `${url}/wl/sessions/${sessionId}`),
    ),
  );
}

/** Returns the HTTP status, or 0 if the request failed. */
async function sendRequest(
  method: 'POST' | 'DELETE',
  url: string,
): Promise<number> {
  try {
    const res = await request(url, {
      method,
      headersTimeout: REMOTE_TIMEOUT_MS,
      bodyTimeout: REMOTE_TIMEOUT_MS,
    });
    await res.body.dump();
    return res.statusCode;
  } catch {
    return 0;
  }
}
