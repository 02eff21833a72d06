import type {RemoteReservation} from '../sessions/remote_reservation.js';

/** Restarts the TTL of remote reservations; yields `remote_settled`. */
export interface UseRemote {
  kind: 'use_remote';
  callId: string;
  reservations: RemoteReservation[];
}
