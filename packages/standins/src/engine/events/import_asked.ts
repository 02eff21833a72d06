/** Imports blocks that another engine has exported. */
export interface ImportAsked {
  kind: 'import_asked';
  callId: string;
  hashes: string[];
}
