/** The operator started or ended the drain of a failure domain. */
export interface DomainDrainChange {
  domain: string;
  /** Offset of the record in the store. */
  offset: number;
  drained: boolean;
}
