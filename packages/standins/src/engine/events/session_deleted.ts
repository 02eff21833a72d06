/** A client frees a session; harmless when repeated. */
export interface SessionDeleted {
  kind: 'session_deleted';
  callId: string;
  sessionId: string;
}
