/** Calls of the store. */
export type StoreCall =
  | 'configuration'
  | 'registry'
  | 'members'
  | 'announce'
  | 'quarantine'
  | 'save_quarantine';
