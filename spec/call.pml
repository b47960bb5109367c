/* At-most-once calls (docs/design/calls.md).

   The model has one key that its caller sends through two entries at the same
   time, two claims that race in the store, two incarnations of one side that
   may run concurrently (the older one was frozen and replaced), frames that
   are lost, duplicated or delayed, store answers that are lost, and a side
   that discards a generation of tickets (all that it issued under
   one generation number).  A frozen process is one that takes no step for a
   while, which the checker's interleaving covers.

   Properties:  once             the target executes the key at most once
                not_run_is_true  after "not run" was answered, the target has
                                 not executed the key and never does
   Each BROKEN_* macro removes one rule; the checker must then report a
   violation.  */

#define INCARNATIONS 2
#define ENTRIES 2
#define NONE 255

mtype = { CALL, REVOKE };
mtype = { FRESH, RUNNING, DONE, REVOKED };             /* state of a ticket */
mtype = { R_DONE, R_NOT_RUN, R_OLD_EPOCH, R_UNKNOWN }; /* replies of a side */
/* R_OLD_EPOCH: the ticket is of another incarnation or of a discarded
   generation.  */

byte effects = 0;
bool answered_not_run = false;

/* The claim of the key in the store: the incarnation that its ticket names.  */
byte claim = NONE;

/* Frames to each incarnation: type, incarnation of the ticket, entry.  */
chan to_side[INCARNATIONS] = [2] of { mtype, byte, byte };
chan to_entry[ENTRIES] = [2] of { mtype };

bool generation_discarded[INCARNATIONS];

/* Sends a reply to an entry.  A reply may be lost, and is lost when the channel
   is full.  */
inline send_reply (to, reply_type)
{
  if
  :: nfull (to_entry[to]) -> to_entry[to] ! reply_type
  :: skip
  fi
}

/* side/calls.c: one incarnation of the side; handles one frame at a time.  */
proctype side (byte self)
{
  mtype frame_type;
  mtype ticket_state = FRESH;
  byte ticket;
  byte entry;
  byte owner;
  bool call_at_target = false;

end:
  do
  :: atomic {
       to_side[self] ? frame_type, ticket, entry ->
       if
#ifndef BROKEN_EPOCH
       :: ticket != self -> send_reply (entry, R_OLD_EPOCH)
#endif
#ifndef BROKEN_GENERATION
       :: ticket == self && generation_discarded[self] &&
            ticket_state == FRESH ->
            send_reply (entry, R_OLD_EPOCH)
#endif
       :: else ->
            if
            :: frame_type == REVOKE && ticket_state == FRESH ->
#ifndef BROKEN_REVOKE
                 ticket_state = REVOKED;
#endif
                 send_reply (entry, R_NOT_RUN)
            :: ticket_state == REVOKED -> send_reply (entry, R_NOT_RUN)
            :: frame_type == REVOKE && ticket_state == DONE ->
                 send_reply (entry, R_DONE)
            :: frame_type == REVOKE && ticket_state == RUNNING ->
                 send_reply (entry, R_UNKNOWN)
#ifndef BROKEN_MEMORY
            :: frame_type == CALL && ticket_state == DONE ->
                 send_reply (entry, R_DONE)
            :: frame_type == CALL && ticket_state == RUNNING ->
                 send_reply (entry, R_UNKNOWN)
            :: frame_type == CALL && ticket_state == FRESH ->
#else
            :: frame_type == CALL && ticket_state != REVOKED ->
#endif
                 ticket_state = RUNNING;
                 owner = entry
            fi
       fi;
       frame_type = 0;
       ticket = 0;
       entry = 0
     }
  /* The side sends the call to the target, which executes it.  */
  :: atomic {
       ticket_state == RUNNING && !call_at_target ->
       call_at_target = true;
       effects++
     }
  /* The target answers.  When its answer is lost, the ticket stays RUNNING.  */
  :: atomic {
       ticket_state == RUNNING && call_at_target ->
       ticket_state = DONE;
       call_at_target = false;
       send_reply (owner, R_DONE)
     }
  /* The side discards the ticket's generation.  */
  :: atomic {
       !generation_discarded[self] && ticket_state != RUNNING ->
       generation_discarded[self] = true;
       ticket_state = FRESH
     }
  /* The process exits.  */
  :: break
  od
}

/* entry/claims.c, entry/calls.c: one request with the key.  */
proctype entry (byte self)
{
  byte ticket = NONE;
  byte choice;
  mtype reply;
  byte sends = 0;

  /* The incarnation of the side that this entry knows: the old or the new.  */
  select (choice : 0 .. 1);

  /* Create the claim if none exists; the answer may be lost.  */
#ifndef BROKEN_CLAIM
  if
  :: atomic { claim == NONE -> claim = choice }
  :: claim != NONE -> skip        /* conflict: another entry's claim exists */
  :: goto give_up                 /* the store does not answer */
  fi;
  /* Read the claim back, which resolves a conflict and a lost answer.  */
  if
  :: ticket = claim
  :: goto unknown                 /* the store no longer answers */
  fi;
#else
  claim = choice;                 /* overwrites any existing claim */
  ticket = choice;
#endif

send:
  /* Either process at the address may receive the frame.  */
  if
  :: nfull (to_side[0]) -> to_side[0] ! CALL, ticket, self
  :: nfull (to_side[1]) -> to_side[1] ! CALL, ticket, self
  :: skip                         /* lost */
  fi;
  sends++;
  if
  :: self == 0 && sends < 2 -> goto send /* duplicated by the link */
  :: skip
  fi;
  if
  :: to_entry[self] ? reply ->
       if
       :: reply == R_DONE -> goto done
       :: reply == R_NOT_RUN -> goto not_run
       :: else -> goto unknown
       fi
  :: skip                         /* timeout */
  fi;
#ifdef BROKEN_TIMEOUT
  goto not_run;
#endif
  if
  :: nfull (to_side[ticket]) -> to_side[ticket] ! REVOKE, ticket, self
  :: skip                         /* lost */
  fi;
  if
  :: to_entry[self] ? reply ->
       if
       :: reply == R_NOT_RUN -> goto not_run
       :: reply == R_DONE -> goto done
       :: else -> goto unknown
       fi
  :: goto unknown
  fi;

not_run:
  answered_not_run = true;
  goto done;
give_up:
  /* This entry neither claimed nor sent the call, but another attempt with the
     same key may be in progress: the entry answers "unknown".  */
unknown:
done:
  skip
}

init
{
  atomic {
    run side (0);
    run side (1);
    run entry (0);
    run entry (1)
  }
}

ltl once { [] (effects <= 1) }
ltl not_run_is_true { [] !(answered_not_run && effects > 0) }
