import type {RemoteReservation} from '../sessions/remote_reservation.js';

/** Uses or extends reservations; answered by `remote_settled`. */
export interface UseRemote {
  kind: 'use_remote';
  callId: string;
  reservations: RemoteReservation[];
}
