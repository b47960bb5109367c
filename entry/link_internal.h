/* The I/O thread's own tables, shared by the files of the link.  */

#ifndef CV_ENTRY_LINK_INTERNAL_H
#define CV_ENTRY_LINK_INTERNAL_H

#include <pthread.h>

#include "entry/link.h"

typedef enum
{
  COMMAND_SUBMIT = 1,
  COMMAND_ATTACH,
  COMMAND_CALL,
  COMMAND_TICKET,
  COMMAND_GONE,
  COMMAND_ADOPT,
  COMMAND_STORE_FAILED,
  COMMAND_INSTANCES,
  COMMAND_SUSPECTS,
  COMMAND_DRAIN,
  COMMAND_INSPECT,
  COMMAND_QUIT
} cv_command_type_t;

/* Completion of a command that another thread waits for.  */
typedef struct
{
  pthread_mutex_t lock;
  pthread_cond_t done_cond;
  bool done;
} cv_waiter_t;

/* One piece of work for the I/O thread, with its own copy of all bytes.  */
typedef struct cv_command_t
{
  STAILQ_ENTRY (cv_command_t) link;
  cv_command_type_t type;
  cv_caller_t *caller;
  cv_time_t asked; /* ADOPT, STORE_FAILED */
  char *bytes;     /* what the slices of the union point to */
  union
  {
    cv_stream_spec_t submit;
    struct
    {
      char account[CV_NAME_MAX];
      cv_position_t first;
    } attach;
    cv_call_spec_t call;
    char pool[CV_NAME_MAX];
    cv_config_t *config;
    struct
    {
      cv_instance_t *list;
      size_t count;
      uint32_t entries;
    } instances;
    struct
    {
      void (*fn) (cv_entry_core_t *core, cv_time_t now, void *arg);
      void *arg;
      cv_waiter_t *waiter;
    } inspect;
  } u;
} cv_command_t;

/* The connection to one side; its index is the target's slot.  */
typedef struct
{
  void *socket;  /* NULL: slot unused */
  void *monitor; /* tells of each new connection of SOCKET */
  cv_instance_t instance;
  cv_time_t wanted; /* when a request named it; 0: never */
} cv_peer_t;

struct cv_entry_link_t
{
  pthread_t thread;
  void *zmq;
  int wake; /* eventfd: the queue has work */
  pthread_mutex_t lock;
  STAILQ_HEAD (cv_command_list_t, cv_command_t) queue;
  uint32_t entries;
  bool knows_entries;  /* an instance list came */
  cv_config_t *config; /* the core's, for other threads */
  char *suspects;      /* likewise */
  uint64_t suspects_version;
  /* Of the I/O thread alone: */
  cv_entry_core_t *core;
  cv_instance_t *listed; /* the whole list, as it came last */
  size_t listed_count;
  cv_peer_t *peers;
  uint32_t peer_count;
  cv_buf_t frame;
  char instance[CV_NAME_MAX];
  char routing_id[CV_NAME_MAX + 20]; /* the same for each connection */
  uint32_t monitors;                 /* made so far, for their names */
  bool quit;
};

/* link_queue.c */

void cv_entry_link_quit (cv_entry_link_t *l);
void cv_entry_link_free_command (cv_command_t *c);

/* link_subset.c */

/* Mark the targets of LIST that this entry connects to as chosen.  */
void cv_entry_link_choose (const cv_entry_link_t *l, cv_instance_t *list,
                           size_t count);

/* link_peers.c */

/* A ticket or position names the target NAME: connect to it, whether it is
   chosen or not.  */
void cv_entry_link_want (void *arg, const char *name);

void cv_entry_link_apply_instances (cv_entry_link_t *l, cv_time_t now,
                                    cv_instance_t *list, size_t count);
void cv_entry_link_send (void *arg, uint32_t target, const cv_msg_t *msg);
void cv_entry_link_reset (void *arg, uint32_t target);
/* Read what one side sent; a bounded number of frames.  */
void cv_entry_link_receive (cv_entry_link_t *l, uint32_t target);
/* Take notice of new connections to TARGET's side.  */
void cv_entry_link_watch (cv_entry_link_t *l, uint32_t target);
void cv_entry_link_close_peers (cv_entry_link_t *l);

#endif
