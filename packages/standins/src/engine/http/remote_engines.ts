import {request} from 'undici';
import type {RemoteReservation} from '../sessions/remote_reservation.js';

const REMOTE_TIMEOUT_MS = 2_000;

/** Uses reservations on other engines; false if one of them is gone. */
export async function useReservations(
  reservations: RemoteReservation[],
): Promise<boolean> {
  const answers = await Promise.all(
    reservations.map(({url, sessionId}) =>
      call('POST', `${url}/wl/reservations/${sessionId}/use`),
    ),
  );
  return answers.every(status => status === 200);
}

/** Releases reservations; an engine that is away lets their TTL pass. */
export async function releaseReservations(
  reservations: RemoteReservation[],
): Promise<void> {
  await Promise.all(
    reservations.map(({url, sessionId}) =>
      call('DELETE', `${url}/wl/sessions/${sessionId}`),
    ),
  );
}

/** Returns the status, or 0 without an answer. */
async function call(method: 'POST' | 'DELETE', url: string): Promise<number> {
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
