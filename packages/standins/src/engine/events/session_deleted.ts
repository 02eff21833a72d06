/** Releases a session; idempotent. */
export interface SessionDeleted {
  kind: 'session_deleted';
  callId: string;
  sessionId: string;
}
