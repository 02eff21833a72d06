/** Memory that an engine holds for an owner, as listed in its load report. */
export interface EngineSession {
  id: string;
  kind: 'stream' | 'reservation' | 'export';
  /** Router id and incarnation, written `ADDRESS#INCARNATION`. */
  owner: string;
  reqId: string;
  tokens: number;
  ageMs: number;
}
