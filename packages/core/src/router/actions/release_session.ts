/** Frees memory that an engine holds; idempotent. */
export interface ReleaseSession {
  kind: 'release_session';
  endpoint: string;
  url: string;
  sessionId: string;
}
