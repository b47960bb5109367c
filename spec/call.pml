/* At-most-once calls (docs/design/calls.md).

   One key that its caller sends through two entries at once, two claims that
   race in the store, two incarnations of one side that may both be awake
   (the older one was frozen and replaced), frames that are lost, delivered
   twice or late, store answers that are lost, and a side that forgets a
   generation.  A frozen process is one that takes no step for a while, which
   the checker's interleaving covers.

   Checked:  ONCE      the target sees at most one effect of the key
             NOT_RUN   after "not run" was told there is and will be none
   BROKEN_* macros each remove one rule; the checker must then object.  */

#define INCARNATIONS 2
#define ENTRIES 2
#define NONE 255

mtype = { CALL, REVOKE };
mtype = { FRESH, RUNNING, DONE, BARRED };              /* memory of a ticket */
mtype = { R_DONE, R_NOT_RUN, R_OLD_EPOCH, R_UNKNOWN }; /* answers of a side */

byte effects = 0;
bool told_not_run = false;

/* The claim of the key in the store: which incarnation its ticket names. */
byte claim = NONE;

/* Frames to each incarnation: verb, incarnation of the ticket, entry.  */
chan to_side[INCARNATIONS] = [2] of { mtype, byte, byte };
chan to_entry[ENTRIES] = [2] of { mtype };

bool generation_over[INCARNATIONS];

/* An answer may be lost; one that finds no room is.  */
inline answer (to, what)
{
  if
  :: nfull (to_entry[to]) -> to_entry[to] ! what
  :: skip
  fi
}

/* side/calls.c: the frames of one incarnation, handled one at a time.  */
proctype side (byte self)
{
  mtype verb;
  mtype memory = FRESH;
  byte ticket;
  byte entry;
  byte owner;
  bool at_target = false;

end:
  do
  :: atomic {
       to_side[self] ? verb, ticket, entry ->
       if
#ifndef BROKEN_EPOCH
       :: ticket != self -> answer (entry, R_OLD_EPOCH)
#endif
#ifndef BROKEN_GENERATION
       :: ticket == self && generation_over[self] && memory == FRESH ->
            answer (entry, R_OLD_EPOCH)
#endif
       :: else ->
            if
            :: verb == REVOKE && memory == FRESH ->
#ifndef BROKEN_REVOKE
                 memory = BARRED;
#endif
                 answer (entry, R_NOT_RUN)
            :: memory == BARRED -> answer (entry, R_NOT_RUN)
            :: verb == REVOKE && memory == DONE -> answer (entry, R_DONE)
            :: verb == REVOKE && memory == RUNNING -> answer (entry, R_UNKNOWN)
#ifndef BROKEN_MEMORY
            :: verb == CALL && memory == DONE -> answer (entry, R_DONE)
            :: verb == CALL && memory == RUNNING -> answer (entry, R_UNKNOWN)
            :: verb == CALL && memory == FRESH ->
#else
            :: verb == CALL && memory != BARRED ->
#endif
                 memory = RUNNING;
                 owner = entry
            fi
       fi;
       verb = 0;
       ticket = 0;
       entry = 0
     }
  /* The frame goes to the target, which acts on it.  */
  :: atomic { memory == RUNNING && !at_target -> at_target = true; effects++ }
  /* The target's answer; a lost one leaves the ticket RUNNING.  */
  :: atomic {
       memory == RUNNING && at_target ->
       memory = DONE;
       at_target = false;
       answer (owner, R_DONE)
     }
  /* The memory of the ticket's generation is dropped.  */
  :: atomic {
       !generation_over[self] && memory != RUNNING ->
       generation_over[self] = true;
       memory = FRESH
     }
  /* The process dies.  */
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

  /* The target's side as this entry knows it: the old or the new one.  */
  select (choice : 0 .. 1);

  /* Create the claim if it is absent; the answer may be lost.  */
#ifndef BROKEN_CLAIM
  if
  :: atomic { claim == NONE -> claim = choice }
  :: claim != NONE -> skip        /* conflict: somebody else's claim holds */
  :: goto give_up                 /* the store does not answer */
  fi;
  /* Read back: answers the conflict and settles a lost answer alike.  */
  if
  :: ticket = claim
  :: goto unknown                 /* the store does not answer any more */
  fi;
#else
  claim = choice;                 /* a lost answer is taken for a failure */
  ticket = choice;
#endif

send:
  /* The frame may go to either process behind the address.  */
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
  told_not_run = true;
  goto done;
give_up:
  /* Nothing was claimed or handed over by this entry, but another attempt of
     the key may be under way: the answer is "unknown".  */
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
ltl not_run_is_true { [] !(told_not_run && effects > 0) }
