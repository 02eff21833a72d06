/** A fault or a load step of a schedule; indexes wrap around. */
export type FleetCommand = {
  kind:
    | 'crash'
    | 'start'
    | 'restart'
    | 'pause'
    | 'cut_off_domain'
    | 'cut_domain_pair'
    | 'cut_off_router'
    | 'cut_off_from_peers'
    | 'join'
    | 'loss'
    | 'request'
    | 'cancel'
    | 'leave'
    | 'restart_engine';
  /** Index of the router or engine. */
  index: number;
  /** Duration of a pause, or share of losses up to 20%, in thousandths. */
  amount: number;
  /** Virtual time until the next command. */
  waitMs: number;
};
