/** A client imports blocks that another engine exported. */
export interface ImportAsked {
  kind: 'import_asked';
  callId: string;
  hashes: string[];
}
